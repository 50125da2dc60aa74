#!/usr/bin/env bash
# Builds the stand-ins of the second review (standard library only).
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/review-2 review/tools-2/main.rs
