#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
Flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
g++ "${Flags[@]}" -c stand_ins/stand_ins.cpp -o build/stand_ins.o
for Source in [1-5]/*.cpp; do
  g++ "${Flags[@]}" "$Source" build/stand_ins.o -o "build/$(basename "$Source" .cpp)" &
done
wait
for Source in [1-5]/*.cpp; do
  [ -x "build/$(basename "$Source" .cpp)" ]
done
