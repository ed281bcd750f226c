#!/usr/bin/env bash
# Configures and builds the project: tools/build.sh [BUILD DIRECTORY] [CMAKE ARGUMENTS…]
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir="${1:-build}"
[ $# -gt 0 ] && shift
cmake -S . -B "$build_dir" -G Ninja "$@" > "$build_dir.configure.log" 2>&1 || { cat "$build_dir.configure.log"; exit 1; }
ninja -C "$build_dir" | tail -n 3
