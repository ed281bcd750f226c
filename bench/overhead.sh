#!/usr/bin/env bash
# Measures the latency that the gateway adds to a direct call of the same upstream, in pairs within one run, and the CPU,
# memory and gossip traffic of an idle instance.
set -euo pipefail
cd "$(dirname "$0")/.."
bin="${BIN:-$PWD/build}" profile="${PROFILE:-siamwong}" router=scored base_port=25000 dir="$PWD/run/overhead"
. tools/deployment.sh
trap stop_deployment EXIT
start_deployment
sleep 5
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
first="${names[0]}"
ticks_before=$(cpu_ticks "${pid_of[$first]}")
gossip_bytes() { curl -fs "http://127.0.0.1:${admin[0]}/metrics" | awk '/^arbutus_gossip_bytes_total/ {print $2}' | paste -sd' '; }
bytes_before=$(gossip_bytes)
sleep 20
ticks_after=$(cpu_ticks "${pid_of[$first]}")
bytes_after=$(gossip_bytes)
echo "idle instance: CPU $(echo "$ticks_before $ticks_after" | awk '{printf "%.2f", ($2 - $1) / 20}') % of one core, resident memory $(awk '/VmRSS/ {print $2}' "/proc/${pid_of[$first]}/status") kB"
echo "idle instance: datagram bytes per second received and sent: $(echo "$bytes_before $bytes_after" | awk '{printf "%.0f %.0f", ($3 - $1) / 20, ($4 - $2) / 20}')"
"$bin/arbutus-load" compare --topology "$dir/topology.json" --pairs "${PAIRS:-300}" --streams "${STREAMS:-64}"
