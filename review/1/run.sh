#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
if [ ! -x "$root/build/tideline" ] || [ ! -x "$root/review/build/case$(basename "$folder")" ]; then
    echo "build the project and review/build.sh first" >&2
    exit 2
fi
timeout -s KILL 115 "$root/review/build/case$(basename "$folder")" "$root" "$folder"
status=$?
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
