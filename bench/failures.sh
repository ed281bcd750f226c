#!/usr/bin/env bash
# Injects faults, singly and in pairs, into a deployment of real processes under load. Compares the requests that callers
# recorded with the journals of the upstreams and prints one row for each run.
#   bench/failures.sh [FAULTS…]     for example: bench/failures.sh none kill kill+pause; default: every combination below
#   SECONDS_EACH=40 bench/failures.sh rolling     drains and restarts every gateway in turn
set -euo pipefail
cd "$(dirname "$0")/.."
bin="${BIN:-$PWD/build}" profile="${PROFILE:-siamwong}" router=scored seconds="${SECONDS_EACH:-12}" rate="${RATE:-60}"
base_port=21000
combinations=(none kill pause platform drain upstream lost_writes leave
  kill+pause kill+platform kill+drain pause+platform pause+drain platform+drain upstream+kill upstream+pause lost_writes+kill leave+kill)
[ $# -gt 0 ] && combinations=("$@")

inject_fault() { # FAULT INDEX: the index selects the gateway, so that the two faults of a pair hit different gateways
  local name="${names[$2]}"
  case "$1" in
    none) ;;
    kill) kill -9 "${pid_of[$name]}" ;;
    pause) kill -STOP "${pid_of[$name]}" ;;
    platform) set_faults "$platform" '{"refuse":true}' ;;
    drain) "$bin/arbutusctl" --admin "127.0.0.1:${admin[$2]}" --key local-admin-key-for-demo drain > /dev/null ;;
    upstream) for port in $upstream_ports; do set_faults "127.0.0.1:$port" '{"drop_after":true,"close_after":9}'; done ;;
    lost_writes) set_faults "$platform" '{"lose_answer":true}' ;;
    rolling) # each gateway in turn: drain, wait until it exits, restart, wait until it is ready
      for i in "${!names[@]}"; do
        "$bin/arbutusctl" --admin "127.0.0.1:${admin[$i]}" --key local-admin-key-for-demo drain > /dev/null
        for _ in $(seq 100); do kill -0 "${pid_of[${names[$i]}]}" 2> /dev/null || break; sleep 0.1; done
        kill -0 "${pid_of[${names[$i]}]}" 2> /dev/null && echo "${names[$i]} did not exit after the drain" >&2
        start_gateway "${names[$i]}"
        wait_for_response "http://127.0.0.1:${admin[$i]}/readyz"
        sleep 0.5
      done ;;
    leave) for port in $upstream_ports; do set_faults "127.0.0.1:$port" '{"leaving":true}'; done ;;
  esac
}
clear_fault() { # FAULT INDEX
  local name="${names[$2]}"
  case "$1" in
    kill | drain) start_gateway "$name" ;;
    pause) kill -CONT "${pid_of[$name]}" ;;
    platform) set_faults "$platform" '{"refuse":false}' ;;
    upstream) for port in $upstream_ports; do set_faults "127.0.0.1:$port" '{"drop_after":false,"close_after":0}'; done ;;
    lost_writes) set_faults "$platform" '{"lose_answer":false}' ;;
    leave) for port in $upstream_ports; do set_faults "127.0.0.1:$port" '{"leaving":false}'; done ;;
  esac
}

. tools/deployment.sh
trap stop_deployment EXIT
printf '%-18s %9s %9s %8s %8s %5s %8s %8s %10s %10s\n' faults requests answered refused unknown lost doubled crossed false_not residency
status=0
for combination in "${combinations[@]}"; do
  dir="$PWD/run/failures" pid_of=() all_pids=() names=() admin=()
  base_port=$((base_port + 600))
  start_deployment 2> /dev/null
  # Ports of one model upstream and of the service upstream in the first region.
  upstream_ports="$((base_port + 500)) $((base_port + 504))"
  "$bin/arbutus-load" run --topology "$dir/topology.json" --seconds "$seconds" --rate "$rate" --json "$dir/report.json" --label r \
    > "$dir/traffic.txt" 2>&1 &
  load_pid=$!
  sleep 3
  index=0
  for fault in ${combination//+/ }; do inject_fault "$fault" $index; index=$((index + 1)); sleep 0.3; done
  sleep 4
  index=0
  for fault in ${combination//+/ }; do clear_fault "$fault" $index; index=$((index + 1)); done
  wait "$load_pid" || status=1
  field() { grep -o "\"$1\":[0-9]*" "$dir/report.json" | head -1 | cut -d: -f2; }
  printf '%-18s %9s %9s %8s %8s %5s %8s %8s %10s %10s\n' "$combination" "$(grep -o 'requests=[0-9]*' "$dir/traffic.txt" | cut -d= -f2)" \
    "$(grep -o 'answered=[0-9]*' "$dir/traffic.txt" | cut -d= -f2)" "$(field refused)" "$(field unknown)" "$(field lost)" "$(field doubled)" \
    "$(field crossed)" "$(field false_not_run)" "$(field residency_violations)"
  cp "$dir/report.json" "run/report-$combination.json"
  stop_deployment 2> /dev/null
  wait 2> /dev/null || true
done
exit $status
