#!/bin/sh
# Exits with 1 if REFUSED was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
for program in target/review-rig-2 target/release/medlardyke; do
    [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
target/review-rig-2 "$folder"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
