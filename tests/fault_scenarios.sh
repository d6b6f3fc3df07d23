#!/bin/bash
# CMake registers each fixed scenario of the fault tests as a test of its own. Checks that CMake names all scenarios
# that the program has, and that an unknown scenario or an invalid seed ends the program with a one-line error.
# Arguments: the program of the fault tests, the program of the sidecar, the option of the kind of test ("" for none),
# and the names of the scenarios.
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
# refused TEXT ARGUMENTS...: checks that the program fails and prints one line, which contains TEXT
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
