#!/usr/bin/env bash
# A zone is evacuated and taken back, and its workers are cold from then on. TROUBLE=0: without the evacuations.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
[ -x target/arbutus-gateway ] && [ -x review/bin/coldworkers ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 5 110 review/bin/coldworkers "$folder" "${RECORD:-review/2/record.txt}" "${TROUBLE:-1}"
result=$?
rm -rf "$folder"
[ "$result" -le 2 ] || result=2
exit "$result"
