# Starts and stops a deployment on loopback; sourced by the demo and by the scripts in bench/.
#
#   dir, bin, profile, router, base_port   input: set by the caller before sourcing
#   start_deployment                       starts platform, upstreams and gateways, stores the configuration, and returns when
#                                          all gateways are ready
#   names, admin, pid_of                   output: gateway names and their admin ports by index, process ids by name
#   stop_deployment                        terminates every started process by its process id

declare -A pid_of=()
all_pids=() names=() admin=()

stop_deployment() {
  for pid in "${all_pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${all_pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    for _ in $(seq 50); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
    kill -9 "$pid" 2>/dev/null || true
  done
}

start_process() { # NAME COMMAND…
  local name="$1"; shift
  "$@" >> "$dir/$name.log" 2>&1 &
  pid_of[$name]=$!
  all_pids+=("$!")
}

wait_for_response() { # URL
  for _ in $(seq 150); do
    curl -fs -m 1 -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "no response from $1 within the time limit; see $dir/*.log" >&2
  exit 1
}

start_gateway() { # NAME
  start_process "$1" "$bin/arbutus-gateway" --settings "$dir/$1.toml" --router "$router"
}

record_pids() {
  local pids=()
  for name in "${names[@]}"; do pids+=(--pid "$name=${pid_of[$name]}"); done
  "$bin/arbutus-load" topology --dir "$dir" "${pids[@]}"
}

ctl() { "$bin/arbutusctl" --platform "$platform" "$@"; }
set_faults() { curl -fs -o /dev/null -X POST --data "$2" "http://$1/faults"; } # ADDRESS JSON

start_deployment() {
  rm -rf "$dir" && mkdir -p "$dir"
  "$bin/arbutus-load" topology --profile "$profile" --dir "$dir" --base-port "$base_port" > "$dir/gateways.txt"
  platform="127.0.0.1:$base_port"
  start_process platform "$bin/arbutus-platform" --listen "$platform"
  start_process upstreams "$bin/arbutus-upstream" --list "$dir/upstreams.json" --weights "$platform"
  wait_for_response "http://$platform/calls"
  curl -fs -o /dev/null -X POST --data @"$dir/list.json" "http://$platform/list"
  ctl --author demo config set "$dir/config.json" > /dev/null
  while read -r name admin_port; do
    start_gateway "$name"
    names+=("$name"); admin+=("$admin_port")
  done < "$dir/gateways.txt"
  for port in "${admin[@]}"; do wait_for_response "http://127.0.0.1:$port/readyz"; done
  record_pids
}
