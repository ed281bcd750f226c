#!/usr/bin/env bash
# Formats all own files; with --check only says which would change.
set -euo pipefail
cd "$(dirname "$0")/.."
files() { git ls-files -co --exclude-standard '*.cpp' '*.h' ':!proto/generated'; }
if [ "${1:-}" = "--check" ]; then
  files | xargs clang-format-16 --dry-run --Werror
else
  files | xargs clang-format-16 -i
fi
