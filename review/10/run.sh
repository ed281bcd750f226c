#!/bin/bash
# Runs the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/arbutus-gateway ] && [ -x target/review-2/restarts ] || exit 2
directory="$(mktemp -d)" || exit 2
trap 'rm -rf "$directory"' EXIT
target/review-2/restarts target/arbutus-gateway "$directory" review/10/record.txt "${TROUBLE:-1}"
