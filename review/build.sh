#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start. Needs only rustc.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/standin/rig.rs
