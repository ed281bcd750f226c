#!/usr/bin/env bash
# Formats every source file except generated code; --check only reports files that would change.
set -euo pipefail
cd "$(dirname "$0")/.."
source_files() { git ls-files -co --exclude-standard '*.cpp' '*.h' ':!proto/generated'; }
if [ "${1:-}" = "--check" ]; then
  source_files | xargs clang-format-16 --dry-run --Werror
else
  source_files | xargs clang-format-16 -i
fi
