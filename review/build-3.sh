#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for n in 11 12 13 14 15; do
  [ -f "review/$n/case.cpp" ] || continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "review/$n/case.cpp" -o "target/review-3/case-$n"
done
