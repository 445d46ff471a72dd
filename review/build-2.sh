#!/bin/sh
# Builds the stand-ins of the scripts of the second review; run it in the repository's root, after the build of
# the deploy file. It needs the Rust compiler alone.
set -e
cd "$(dirname "$0")/.."
rustc --edition 2024 -O -o target/review-rig-2 review/rig-2/main.rs
rustc --edition 2024 -O -o target/review-evacuation review/rig-2/evacuation.rs
