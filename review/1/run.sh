#!/usr/bin/env bash
# A gateway gets SIGTERM while clients use their channels for one stream after the other. TROUBLE=0: without the SIGTERM.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
[ -x target/arbutus-gateway ] && [ -x review/bin/shutdown ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 5 100 review/bin/shutdown "$folder" "${RECORD:-review/1/record.txt}" "${TROUBLE:-1}"
result=$?
rm -rf "$folder"
[ "$result" -le 2 ] || result=2
exit "$result"
