#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 and later: one program, from the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig/main.rs
