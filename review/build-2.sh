#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start, into review/standins-2/bin. Uses packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p bin
for source in *.cpp; do
  clang++-16 -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/${source%.cpp}" "$source"
done
