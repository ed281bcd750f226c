#!/usr/bin/env bash
# Runs clang-tidy in parallel on the given files or on all sources: tools/lint.sh [FILE…]. Requires a configured build
# directory.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then
  printf '%s\n' "$@"
else
  git ls-files 'platform/*.cpp' 'src/*.cpp' 'apps/*.cpp' 'tests/*.cpp' 'bench/*.cpp'
fi | xargs -P "$(nproc)" -n 1 clang-tidy-16 -p build --quiet --extra-arg=-Wno-unknown-warning-option 2> build/lint.err || {
  grep -v -E 'warnings generated|Suppressed|Use -header-filter' build/lint.err >&2 || true
  echo "lint: findings above" >&2
  exit 1
}
echo "lint: clean"
