#!/usr/bin/env bash
# Requests with long heads go through a gateway of another region while the only worker of their region is down. TROUBLE=0: it stays up.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
[ -x target/arbutus-gateway ] && [ -x review/bin/longheads ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 5 60 review/bin/longheads "$folder" "${RECORD:-review/3/record.txt}" "${TROUBLE:-1}"
result=$?
rm -rf "$folder"
[ "$result" -le 2 ] || result=2
exit "$result"
