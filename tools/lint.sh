#!/usr/bin/env bash
# Lints all own files in parallel, or those named: tools/lint.sh [FILE…]. Needs a configured build folder.
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
