#!/bin/sh
# Runs the case after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=target/review-2/joined_runner
for needed in target/release/topazsail "$program"; do
    [ -x "$needed" ] || { echo "cannot run: $needed is not built"; exit 2; }
done
temporary=$(mktemp -d) || exit 2
trap 'kill "$pid" 2>/dev/null; rm -rf "$temporary"; exit 2' INT TERM HUP
"$program" "$here/record.txt" "$temporary" &
pid=$!
wait "$pid"
code=$?
rm -rf "$temporary"
exit "$code"
