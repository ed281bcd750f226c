#!/usr/bin/env bash
# What the gateway adds to a direct call of the same upstream, in pairs in one run; and what an idle instance costs.
set -euo pipefail
cd "$(dirname "$0")/.."
bin="${BIN:-$PWD/build}" profile="${PROFILE:-siamwong}" router=scored base_port=25000 dir="$PWD/run/overhead"
. tools/deployment.sh
trap end_deployment EXIT
start_deployment
sleep 5
processor() { awk '{print $14 + $15}' "/proc/$1/stat"; }
first="${names[0]}"
before=$(processor "${pid_of[$first]}")
bytes() { curl -fs "http://127.0.0.1:${admin[0]}/metrics" | awk '/^arbutus_gossip_bytes_total/ {print $2}' | paste -sd' '; }
bytes_before=$(bytes)
sleep 20
after=$(processor "${pid_of[$first]}")
bytes_after=$(bytes)
echo "idle instance: processor $(echo "$before $after" | awk '{printf "%.2f", ($2 - $1) / 20}') % of a core, resident $(awk '/VmRSS/ {print $2}' "/proc/${pid_of[$first]}/status") kB"
echo "idle instance: datagram bytes a second in and out: $(echo "$bytes_before $bytes_after" | awk '{printf "%.0f %.0f", ($3 - $1) / 20, ($4 - $2) / 20}')"
"$bin/arbutus-load" compare --topology "$dir/topology.json" --pairs "${PAIRS:-300}" --streams "${STREAMS:-64}"
