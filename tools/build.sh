#!/usr/bin/env bash
# Configures and builds into a folder: tools/build.sh [FOLDER] [CMAKE ARGUMENTS…]
set -euo pipefail
cd "$(dirname "$0")/.."
folder="${1:-build}"
[ $# -gt 0 ] && shift
cmake -S . -B "$folder" -G Ninja "$@" > "$folder.configure.log" 2>&1 || { cat "$folder.configure.log"; exit 1; }
ninja -C "$folder" | tail -n 3
