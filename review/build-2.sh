#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -g1 -Isrc -Wno-mismatched-new-delete)
libs=(target/libarbutus_shell.a target/libarbutus_decision.a -lboost_json -lboost_url -lssl -lcrypto -lglog -lpthread)
g++ "${flags[@]}" -c review/standins-2/rig.cpp -o "$out/rig.o"
for source in review/standins-2/*.cpp; do
  name="$(basename "$source" .cpp)"
  [ "$name" = rig ] && continue
  g++ "${flags[@]}" "$source" "$out/rig.o" "${libs[@]}" -o "$out/$name"
done
