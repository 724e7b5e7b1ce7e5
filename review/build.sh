#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
"${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread review/5/growing_configurations.cpp \
  -o target/review/growing_configurations
