#!/bin/bash
# Each fixed scenario of the fault tests is a test of its own: the names that CMake has are all that the program
# has, and an unknown name or seed is one line and a failure. Arguments: the fault tests' program, the sidecar's,
# the kind's option or "", and the names.
set -uo pipefail
fault_tests=$1
sidecar=$2
kind=$3
shift 3
run() { "$fault_tests" --program "$sidecar" ${kind:+"$kind"} "$@"; }

failures=0
if ! diff <(printf '%s\n' "$@") <(run --list-scenarios); then
    echo "CMakeLists.txt (<) does not name the scenarios that the program has (>)"
    failures=$((failures + 1))
fi
# refused TEXT ARGUMENTS: ends with a failure, and with one line that has the text
refused() {
    text=$1
    shift
    printed=$(run "$@" 2>&1) && { echo "not refused: $*"; failures=$((failures + 1)); }
    if [ "$(grep -c . <<<"$printed")" != 1 ] || ! grep -qF -- "$text" <<<"$printed"; then
        echo "not one line with '$text': $printed"
        failures=$((failures + 1))
    fi
}
refused "no scenario no-such" --scenario no-such
refused "seed" --seed x
exit $((failures > 0))
