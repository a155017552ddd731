#!/bin/sh
# Builds the stand-ins of cases 8 to 10. They need the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/standin-2/main.rs
