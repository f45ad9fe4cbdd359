# Starts and stops a whole deployment on 127.0.0.1. Sourced by tools/demo, tools/soak and tools/compare-gateways.
# Needs: $work (folder for settings, logs and histories) and $deployment (tazi or brushwick).
# shellcheck shell=bash
bin=${CAMPHORMUX_BIN:-$PWD/build/bin}
declare -A pids=()
links=${links:-false}  # Whether all traffic goes through the link stand-in.
gateways=()

say() { printf '%s %s\n' "$(date +%T)" "$*" >&2; }
now_us() { date +%s%6N; }
now_ms() { date +%s%3N; }

# Prints a base port with 160 unused ports above it, below the range that the kernel gives out.
find_base_port() {
  local base port used
  used=" $(awk 'FNR > 1 { split($2, a, ":"); print a[2] }' /proc/net/tcp | sort -u |
    while read -r port; do printf '%d ' "0x$port"; done)"
  for ((base = 20000 + RANDOM % 20 * 500; base < 32000; base += 200)); do
    for ((port = base + 1; port <= base + 160; port++)); do
      case "$used" in *" $port "*) continue 2 ;; esac
    done
    echo "$base"
    return
  done
  echo "no free range of ports" >&2
  return 1
}

start() {  # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$work/$name.out" 2>>"$work/$name.log" &
  pids[$name]=$!
}

# Sends SIGTERM to processes and waits for their ends; SIGKILL after 60 s is counted as a fault.
stop() {  # NAME...
  local name pid end=$(($(now_ms) + 60000))
  for name in "$@"; do
    if [ -n "${pids[$name]:-}" ]; then kill -TERM "${pids[$name]}" 2>/dev/null || true; fi
  done
  for name in "$@"; do
    pid=${pids[$name]:-}
    [ -n "$pid" ] || continue
    unset "pids[$name]"
    while kill -0 "$pid" 2>/dev/null && [ "$(now_ms)" -lt "$end" ]; do sleep 0.05; done
    if kill -0 "$pid" 2>/dev/null; then
      say "$name did not stop within 60 s"
      kill -KILL "$pid"
      stop_faults=$((${stop_faults:-0} + 1))
    fi
    wait "$pid" 2>/dev/null || true
  done
}

# Ends what is left; used as the trap of scripts that fail half-way.
kill_rest() {
  local name
  for name in "${!pids[@]}"; do
    kill -KILL "${pids[$name]}" 2>/dev/null || true
    wait "${pids[$name]}" 2>/dev/null || true
  done
  pids=()
}

start_gateway() { start "gateway-$1" "$bin/camphormux-gateway" --config "$work/settings/gateway-$1.ini"; }
start_controller() { start "controller-$1" "$bin/camphormux-controller" --config "$work/settings/controller-$1.ini"; }

await() {  # SECONDS WHAT COMMAND...
  local end=$(($(now_ms) + $1 * 1000)) what=$2
  shift 2
  until "$@"; do
    if [ "$(now_ms)" -ge "$end" ]; then
      say "timed out: $what"
      return 1
    fi
    sleep 0.05
  done
}

answers() { curl -fs -m 2 -o /dev/null "$1"; }
gateway_state() { curl -s -m 2 "http://127.0.0.1:$((base + 20 + $1))/state"; }
field() { sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p"; }

# True if every gateway has the revision in force.
all_at_revision() {  # REVISION
  local n revision
  for ((n = 1; n <= entries; n++)); do
    revision=$(gateway_state "$n" | field revision)
    [ "${revision:-0}" -ge "$1" ] || return 1
  done
}

# True if every service answers through every gateway.
all_services_answer() {
  local n service
  for ((n = 1; n <= entries; n++)); do
    for service in $services; do
      answers "http://127.0.0.1:$((base + 10 + n))/$service/items/probe" || return 1
    done
  done
}

start_standins() {  # extra flags of the platform stand-in
  local endpoints=hosts.ini
  if $links; then
    endpoints=endpoints.ini
    start links "$bin/camphormux-link-standin" --links "$work/settings/links.ini" --control "127.0.0.1:$((base + 4))"
    await 20 "link stand-in" answers "http://127.0.0.1:$((base + 4))/control/links"
  fi
  start endpoints "$bin/camphormux-endpoint-standin" --hosts "$work/settings/$endpoints" \
    --control "127.0.0.1:$((base + 2))" --journal "$work/journal.jsonl" --service_time exponential \
    --service_us "${service_us:-20000}"
  start platform "$bin/camphormux-platform-standin" --hosts "$work/settings/hosts.ini" \
    --listen "127.0.0.1:$((base + 1))" --endpoints_control "127.0.0.1:$((base + 2))" "$@"
  await 20 "platform stand-in" answers "http://127.0.0.1:$((base + 1))/v1/hosts"
  await 20 "endpoint stand-in" answers "http://127.0.0.1:$((base + 2))/control/hosts/$(sed -n 's/^\[host \(.*\)\]/\1/p' "$work/settings/hosts.ini" | head -1)"
}

prepare() {
  [ -x "$bin/camphormux-gateway" ] || { echo "build first: tools/build release" >&2; exit 2; }
  base=$(find_base_port)
  tools/generate-settings "$deployment" "$base" "$work/settings" $($links && echo --links)
  entries=$(find "$work/settings" -name 'gateway-*.ini' | wc -l)
  services=$(sed -n 's/^\[service \(.*\)\]/\1/p' "examples/$deployment/fleet.ini" | tr '\n' ' ')
  local n
  for ((n = 1; n <= entries; n++)); do gateways+=("127.0.0.1:$((base + 10 + n))"); done
  gateway_list=$(IFS=,; echo "${gateways[*]}")
}

start_entry_hosts() {
  local n
  for ((n = 1; n <= entries; n++)); do start_controller "$n"; start_gateway "$n"; done
}

publish() {  # FILE [FLAGS...]
  "$bin/camphormux" publish "$@" --platform "127.0.0.1:$((base + 1))"
}

platform_control() { curl -s -m 5 -o /dev/null -X PUT "http://127.0.0.1:$((base + 1))/control/$1" -d "$2"; }
endpoint_control() { curl -s -m 5 -o /dev/null -X PUT "http://127.0.0.1:$((base + 2))/control/$1" -d "$2"; }

link_control() { curl -s -m 5 -o /dev/null -X PUT "http://127.0.0.1:$((base + 4))/control/links" -d "$1"; }

# Sets what happens to bytes that go out of a zone and into it: pass, hold or drop. A cut zone has lost the platform and
# all other zones; a half-cut one loses one direction only.
set_zone_links() {  # ZONE OUT_MODE IN_MODE
  link_control "{\"from\":\"$1\",\"to\":\"*\",\"mode\":\"$2\"}"
  link_control "{\"from\":\"*\",\"to\":\"$1\",\"mode\":\"$3\"}"
}

stop_entry_hosts() {
  local n names=()
  for ((n = 1; n <= entries; n++)); do names+=("gateway-$n" "controller-$n"); done
  stop "${names[@]}"
}
stop_standins() { stop platform endpoints links; }

check_history() {  # FLAGS...
  "$bin/camphormux-history-check" --callers "$work/callers.jsonl" --journals "$work/journal.jsonl" "$@"
}
