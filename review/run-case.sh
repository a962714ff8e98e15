#!/bin/sh
# run-case.sh CASE FOLDER: plays a case with the deploy file's `run`; called by the cases' run.sh.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
case=$1
folder=$(cd "$2" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
standin=$root/target/review/standin
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
[ -x "$standin" ] && [ -x "$root/target/release/topazsail" ] && [ -n "$run" ] || exit 2
temporary=$(mktemp -d) || exit 2
end() {
    # What is left of the processes that this run started; usually nothing.
    if [ -f "$temporary/pids" ]; then
        while read -r pid; do
            if tr '\0' ' ' 2>/dev/null < "/proc/$pid/cmdline" | grep -q "topazsail serve"; then kill -KILL "$pid"; fi
        done < "$temporary/pids"
    fi
    rm -rf "$temporary"
}
trap end EXIT
trap 'kill -KILL "$pid" 2>/dev/null; exit 2' HUP INT TERM
"$standin" "$case" "$root" "$folder" "$temporary" "$run" &
pid=$!
wait "$pid"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
