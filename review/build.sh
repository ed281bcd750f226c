#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -Wextra -c standins/json.cpp -o bin/json.o
for source in standins/*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = json ] || g++ -std=c++20 -O1 -Wall -Wextra "$source" bin/json.o -o "bin/$name" -pthread
done
