#!/usr/bin/env bash
# Builds the stand-ins that the scripts of REPORT-3.md start, into review/build/3.
set -euo pipefail
cd "$(dirname "$0")"
Out=build/3
mkdir -p "$Out"
Flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
g++ "${Flags[@]}" -c stand_ins_3/rig.cpp -o "$Out/rig.o"
for Case in 1[1-5]; do
  for Source in "$Case"/*.cpp; do
    [ -f "$Source" ] || continue
    g++ "${Flags[@]}" "$Source" "$Out/rig.o" -o "$Out/case-$Case"
  done
done
