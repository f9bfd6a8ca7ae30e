#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it
# held and 2 if the case could not run; TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[[ -x target/review-2/rig && -x target/release/dragonflywall ]] || exit 2
exec target/review-2/rig killed-machines "$folder"
