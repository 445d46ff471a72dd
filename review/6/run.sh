#!/bin/sh
# Exits with 1 if EVAC was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
exec target/review-evacuation "$folder"
