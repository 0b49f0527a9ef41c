#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  [ "$number" -ge 11 ] 2>/dev/null || continue
  clang++-16 -std=c++20 -O1 -Wall -pthread "$source" -o "target/review-3/$number"
done
