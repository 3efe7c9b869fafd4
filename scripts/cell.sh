# Functions that start and measure a cell on the loopback interface. Sourced by
# the demo and the benchmarks. start_cell ENTRIES RUNNERS WORKERS starts the cell
# and sets platform, balancer, ctl, entry_pids, entry_http and admins; stop_cell
# stops all its processes.

dir=$(mktemp -d)
pids=()
entry_pids=()
entry_http=()
zone_names=(zone-a zone-b zone-c)

stop_cell() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop_cell EXIT

# free_ports COUNT prints unused ports, so that several cells can run on one machine.
# The ports are below the kernel's ephemeral port range for outgoing connections.
free_ports() {
  python3 - "$1" <<'PY'
import random, socket, sys
ports = []
while len(ports) < int(sys.argv[1]):
    port = random.randrange(10000, 32000)
    with socket.socket() as s:
        try:
            s.bind(("127.0.0.1", port))
        except OSError:
            continue
    if port not in ports:
        ports.append(port)
print(" ".join(map(str, ports)))
PY
}

run() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

start_entry() {
  local name=$1 zone=$2 http=$3 rpc=$4
  cat >"$dir/$name.toml" <<TOML
name = "$name"
zone = "$zone"
http_address = "127.0.0.1:$http"
rpc_address = "127.0.0.1:$rpc"
platform_url = "$platform"

[stop]
drain_delay = "500ms"
timeout = "20s"
TOML
  run "$name" bin/agateyard-entry --config "$dir/$name.toml"
  entry_pids+=("${pids[-1]}")
  entry_http+=("$http")
}

start_cell() {
  local entries=$1 runners=$2 workers=$3 ports i
  read -r -a ports < <(free_ports $((5 + 2 * entries)))
  platform="http://127.0.0.1:${ports[0]}"
  balancer="127.0.0.1:${ports[1]}"
  admins="127.0.0.1:${ports[2]},127.0.0.1:${ports[3]},127.0.0.1:${ports[4]}"
  local zones=()
  for z in "${zone_names[@]}"; do zones+=(--zone "$z"); done
  run platform bin/agateyard-standin platform --listen "127.0.0.1:${ports[0]}"
  run orders bin/agateyard-standin runner --service orders --count "$runners" --platform "$platform" --admin "127.0.0.1:${ports[2]}" "${zones[@]}"
  run fleece bin/agateyard-standin runner --service fleece-orders --count "$runners" --platform "$platform" --admin "127.0.0.1:${ports[3]}" "${zones[@]}"
  run workers bin/agateyard-standin worker --count "$workers" --cores 32 --memory-mb 65536 --platform "$platform" --admin "127.0.0.1:${ports[4]}" "${zones[@]}"
  local backends=()
  for i in $(seq 0 $((entries - 1))); do
    start_entry "entry-$i" "${zone_names[$((i % 3))]}" "${ports[$((5 + 2 * i))]}" "${ports[$((6 + 2 * i))]}"
    backends+=(--backend "127.0.0.1:${entry_http[$i]}")
  done
  run balancer bin/agateyard-standin balancer --listen "$balancer" "${backends[@]}"
  ctl=(bin/agateyardctl --server "http://127.0.0.1:${entry_http[0]}")
  wait_ready
  for f in templates/kalnins.toml templates/sabra.toml; do
    "${ctl[@]}" template apply "$f" --wait
  done
  # Pool summaries reach every entry process within a few gossip rounds.
  sleep 2
}

wait_ready() {
  local ok port
  for _ in $(seq 300); do
    ok=yes
    for port in "${entry_http[@]}"; do
      curl -fs -o /dev/null "http://127.0.0.1:$port/readyz" || ok=no
    done
    [ "$ok" = yes ] && return 0
    sleep 0.1
  done
  echo "entry processes did not become ready"
  tail -n 5 "$dir"/*.log
  exit 1
}

# begin_usage starts and end_usage LABEL ends a measurement of the resource usage of
# the entry processes and of the store calls.
begin_usage() { python3 scripts/usage.py sample "$platform" "${entry_pids[@]}" >"$dir/usage.json"; }
end_usage() { python3 scripts/usage.py report "$platform" "$dir/usage.json" "$1" "${entry_pids[@]}"; }
