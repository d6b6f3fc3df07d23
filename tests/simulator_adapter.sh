#!/bin/bash
# Checks how the simulator adapter handles invalid input: it prints one line to standard error, writes only complete
# replies, and exits with the expected status. Argument: the program of the adapter.
drill=$1
fail=0
expect() {  # NAME INPUT STATUS STDERR STDOUT: the last two are substrings of the output
    out=$(printf '%b' "$2" | "$drill" 2>/tmp/drill.$$)
    status=$?
    err=$(cat /tmp/drill.$$)
    rm -f /tmp/drill.$$
    if [ "$status" != "$3" ] || [[ "$err" != *"$4"* ]] || [[ "$out" != *"$5"* ]]; then
        echo "FAILED: $1: status $status, error '$err', output '$out'"
        fail=1
    fi
}
launch='{"LAUNCH":{"sidecarId":"sidecar_0","entropy":1,"profileData":{}}}'
expect "end of input" '' 0 '' ''
expect "empty batch" '{"timeUs":1,"in":[]}\n' 0 '' '{"cmds":[]}'
expect "not json" '{"timeUs":1,"in":[]}\n{"timeUs"\n' 1 'line 2' '{"cmds":[]}'
expect "wrong type" '{"timeUs":"x","in":[]}\n' 1 "'timeUs' is not a whole number" ''
expect "missing field" '{"timeUs":1}\n' 1 "'in' is missing" ''
expect "time goes back" '{"timeUs":2,"in":[]}\n{"timeUs":1,"in":[]}\n' 1 'line 2' '{"cmds":[]}'
expect "unknown sidecar" '{"timeUs":1,"in":[{"ABANDONED":{"sidecarId":"sidecar_9","msgId":1}}]}\n' 1 'unknown sidecar' ''
expect "unknown event" "{\"timeUs\":1,\"in\":[$launch,{\"WAVE\":{\"sidecarId\":\"sidecar_0\"}}]}\n" 1 "unknown event 'WAVE'" ''
expect "missing setting" "{\"timeUs\":1,\"in\":[$launch]}\n" 0 '' '"FATAL":{"bodyText":"missing term: operations.count"'
exit $fail
