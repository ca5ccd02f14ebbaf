#!/usr/bin/env bash
# Plays this case against the router that `run` of deploy/balancer.toml starts. Exit: 0 held, 1 broken, 2 could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
name=$(basename "$folder")
ROOT=$(cd "$folder/../.." && pwd)
export ROOT RECORD="$folder/record.txt" TROUBLE="${TROUBLE:-1}"
program="$ROOT/review/bin/$name"
[ -x "$program" ] && [ -x "$ROOT/bin/gannethook" ] || { echo 'not built' >&2; exit 2; }
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
setsid timeout -s KILL 110 "$program" & # a group of its own: the stand-ins and the router that they judge
pid=$!
trap 'kill -KILL -- "-$pid" 2>/dev/null; rm -rf "$CASE_TMP"' EXIT
trap 'exit 2' INT TERM
wait "$pid"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
