#!/usr/bin/env bash
# play.sh CASE FOLDER: plays a case of target/review/lab for 115 seconds at most, and ends every process of it.
# Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
record="$2/record.txt"
if [[ ! -x target/review/lab || ! -x target/release/dragonflywall ]]; then
	echo "build the program and review/build.sh first" >&2
	exit 2
fi
scratch="$(mktemp -d)"
set -m
TMPDIR="$scratch" RECORD="$record" target/review/lab "$1" >"$scratch/out" 2>&1 &
lab=$!
set +m
(
	sleep 115
	kill -KILL -- "-$lab"
) >/dev/null 2>&1 &
watch=$!
wait "$lab"
code=$?
# The endpoints and nodes are in the group of the lab; those that are stopped end too.
kill -KILL -- "-$lab" 2>/dev/null
kill "$watch" 2>/dev/null
tail -n 3 "$scratch/out"
rm -rf "$scratch"
case "$code" in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
