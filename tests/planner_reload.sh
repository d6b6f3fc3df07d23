#!/bin/bash
# Checks that a planner that gets SIGHUP logs whether a change of its configuration file needs a restart, and goes on
# running even if the file is invalid. Argument: the program.
set -uo pipefail
program=$1
folder=$(mktemp -d)
address=127.$((RANDOM % 120 + 100)).$((RANDOM % 250)).$((RANDOM % 250 + 1)):7800
write() {
    cat >"$folder/planner.cfg" <<END
planner = { name = "p1"; listen = "$address"; folder = "$folder/disk"; planners = ( { name = "p1"; address = "$address"; } );
    leases = { span = $1; }; };
END
}
write 6.0
"$program" planner --file "$folder/planner.cfg" --found >"$folder/log" 2>&1 &
planner=$!
trap 'kill $planner 2>/dev/null; wait $planner 2>/dev/null; rm -rf "$folder"' EXIT

# expect COUNT TEXT: waits up to 10 s until at least COUNT lines of the log contain TEXT
expect() {
    for _ in $(seq 100); do
        [ "$(grep -cF -- "$2" "$folder/log")" -ge "$1" ] && return
        sleep 0.1
    done
    echo "no '$2' in:"
    cat "$folder/log"
    exit 1
}
expect 1 "planner: started"
kill -HUP $planner
expect 1 "configuration checked: restart_needed=no"
write 7.0
kill -HUP $planner
expect 1 "configuration checked: restart_needed=yes"
echo "planner = {" >"$folder/planner.cfg"
kill -HUP $planner
expect 1 "configuration invalid"
kill -TERM $planner
wait $planner
