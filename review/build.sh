#!/usr/bin/env bash
# Builds the drivers and stand-ins of the scripted cases, with the compiler alone and no dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]/case.rs; do
  number=$(basename "$(dirname "$source")")
  rustc --edition 2024 -O -o "target/review/case-$number" "$source"
done
