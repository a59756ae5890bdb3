#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 that have a script, into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
Pids=()
for Source in {6..10}/case.cpp; do
  [ -e "$Source" ] || continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -o "build/case-${Source%%/*}" \
    "$Source" stand_ins_2/bed.cpp -pthread &
  Pids+=($!)
done
for Pid in "${Pids[@]}"; do
  wait "$Pid"
done
