#!/usr/bin/env bash
# Real processes under failures, alone and in pairs: callers' records against upstreams' journals, one row each.
#   bench/failures.sh [FAULTS…]     e.g. bench/failures.sh none kill kill+pause; without arguments all of them
#   SECONDS_EACH=40 bench/failures.sh rolling     every gateway drained and replaced in turn
set -euo pipefail
cd "$(dirname "$0")/.."
bin="${BIN:-$PWD/build}" profile="${PROFILE:-siamwong}" router=scored seconds="${SECONDS_EACH:-12}" rate="${RATE:-60}"
base_port=21000
all=(none kill pause platform drain upstream lost_writes leave
  kill+pause kill+platform kill+drain pause+platform pause+drain platform+drain upstream+kill upstream+pause lost_writes+kill leave+kill)
[ $# -gt 0 ] && all=("$@")

inject() { # FAULT INDEX: starts a fault; the other gateway of a pair is another one
  local name="${names[$2]}"
  case "$1" in
    none) ;;
    kill) kill -9 "${pid_of[$name]}" ;;
    pause) kill -STOP "${pid_of[$name]}" ;;
    platform) faults "$platform" '{"refuse":true}' ;;
    drain) "$bin/arbutusctl" --admin "127.0.0.1:${admin[$2]}" --key local-admin-key-for-demo drain > /dev/null ;;
    upstream) for port in $upstream_ports; do faults "127.0.0.1:$port" '{"drop_after":true,"close_after":9}'; done ;;
    lost_writes) faults "$platform" '{"lose_answer":true}' ;;
    rolling) # every gateway in turn: drained, ended by itself, started anew, ready
      for i in "${!names[@]}"; do
        "$bin/arbutusctl" --admin "127.0.0.1:${admin[$i]}" --key local-admin-key-for-demo drain > /dev/null
        for _ in $(seq 100); do kill -0 "${pid_of[${names[$i]}]}" 2> /dev/null || break; sleep 0.1; done
        kill -0 "${pid_of[${names[$i]}]}" 2> /dev/null && echo "${names[$i]} did not end by itself" >&2
        start_gateway "${names[$i]}"
        until_answers "http://127.0.0.1:${admin[$i]}/readyz"
        sleep 0.5
      done ;;
    leave) for port in $upstream_ports; do faults "127.0.0.1:$port" '{"leaving":true}'; done ;;
  esac
}
heal() { # FAULT INDEX
  local name="${names[$2]}"
  case "$1" in
    kill | drain) start_gateway "$name" ;;
    pause) kill -CONT "${pid_of[$name]}" ;;
    platform) faults "$platform" '{"refuse":false}' ;;
    upstream) for port in $upstream_ports; do faults "127.0.0.1:$port" '{"drop_after":false,"close_after":0}'; done ;;
    lost_writes) faults "$platform" '{"lose_answer":false}' ;;
    leave) for port in $upstream_ports; do faults "127.0.0.1:$port" '{"leaving":false}'; done ;;
  esac
}

. tools/deployment.sh
trap end_deployment EXIT
printf '%-18s %9s %9s %8s %8s %5s %8s %8s %10s %10s\n' faults requests answered refused unknown lost doubled crossed false_not residency
status=0
for faults_now in "${all[@]}"; do
  dir="$PWD/run/failures" pid_of=() all_pids=() names=() admin=()
  base_port=$((base_port + 600))
  start_deployment 2> /dev/null
  # One model engine and the plain service of the first region.
  upstream_ports="$((base_port + 500)) $((base_port + 504))"
  "$bin/arbutus-load" run --topology "$dir/topology.json" --seconds "$seconds" --rate "$rate" --json "$dir/report.json" --label r \
    > "$dir/traffic.txt" 2>&1 &
  traffic=$!
  sleep 3
  index=0
  for fault in ${faults_now//+/ }; do inject "$fault" $index; index=$((index + 1)); sleep 0.3; done
  sleep 4
  index=0
  for fault in ${faults_now//+/ }; do heal "$fault" $index; index=$((index + 1)); done
  wait "$traffic" || status=1
  field() { grep -o "\"$1\":[0-9]*" "$dir/report.json" | head -1 | cut -d: -f2; }
  printf '%-18s %9s %9s %8s %8s %5s %8s %8s %10s %10s\n' "$faults_now" "$(grep -o 'requests=[0-9]*' "$dir/traffic.txt" | cut -d= -f2)" \
    "$(grep -o 'answered=[0-9]*' "$dir/traffic.txt" | cut -d= -f2)" "$(field refused)" "$(field unknown)" "$(field lost)" "$(field doubled)" \
    "$(field crossed)" "$(field false_not_run)" "$(field residency_violations)"
  cp "$dir/report.json" "run/report-$faults_now.json"
  end_deployment 2> /dev/null
  wait 2> /dev/null || true
done
exit $status
