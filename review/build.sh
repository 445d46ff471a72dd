#!/bin/sh
# Builds the stand-ins of the review. They need the Rust compiler and its standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/rig/main.rs
