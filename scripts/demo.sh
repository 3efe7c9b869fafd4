#!/usr/bin/env bash
# Runs a whole cell on the loopback interface: platform, runners, workers, a
# balancer and 3 entry processes in 3 zones. Applies the templates of both
# workspaces, sends the demo load, checks the promises against the endpoints'
# effect logs, prints the report and the timeline of one request, and stops
# everything. With --keep the cell stays up until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
keep=no
[ "${1:-}" = "--keep" ] && keep=yes

dir=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop_all EXIT

# Ports are picked free, so that several demos fit on one machine.
free_ports() {
  python3 - "$1" <<'PY'
import socket, sys
socks = [socket.socket() for _ in range(int(sys.argv[1]))]
for s in socks:
    s.bind(("127.0.0.1", 0))
print(" ".join(str(s.getsockname()[1]) for s in socks))
PY
}
read -r p_platform p_orders p_fleece p_workers p_balancer h1 h2 h3 r1 r2 r3 < <(free_ports 11)

run() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}
zones=(--zone zone-a --zone zone-b --zone zone-c)
platform="http://127.0.0.1:$p_platform"
run platform bin/agateyard-standin platform --listen "127.0.0.1:$p_platform"
run orders bin/agateyard-standin runner --service orders --count 6 --platform "$platform" --admin "127.0.0.1:$p_orders" "${zones[@]}"
run fleece bin/agateyard-standin runner --service fleece-orders --count 6 --platform "$platform" --admin "127.0.0.1:$p_fleece" "${zones[@]}"
run workers bin/agateyard-standin worker --count 6 --cores 32 --memory-mb 65536 --platform "$platform" --admin "127.0.0.1:$p_workers" "${zones[@]}"

entry() {
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
  entry_pids+=(${pids[-1]})
}
entry_pids=()
entry entry-a zone-a "$h1" "$r1"
entry entry-b zone-b "$h2" "$r2"
entry entry-c zone-c "$h3" "$r3"
run balancer bin/agateyard-standin balancer --listen "127.0.0.1:$p_balancer" --backend "127.0.0.1:$h1,127.0.0.1:$h2,127.0.0.1:$h3"
ctl=(bin/agateyardctl --server "http://127.0.0.1:$h1")

wait_ready() {
  for _ in $(seq 200); do
    ok=yes
    for port in "$h1" "$h2" "$h3"; do
      curl -fs -o /dev/null "http://127.0.0.1:$port/readyz" || ok=no
    done
    [ "$ok" = yes ] && return 0
    sleep 0.1
  done
  echo "entry processes did not become ready"
  tail -5 "$dir"/entry-*.log
  exit 1
}
wait_ready
for f in templates/kalnins.toml templates/sabra.toml; do
  "${ctl[@]}" template apply "$f" --wait
done
# Summaries of the pools reach every entry process within a few rounds of gossip.
sleep 2

usage() {
  for pid in "${entry_pids[@]}"; do
    awk -v pid="$pid" '{print pid, $14+$15}' "/proc/$pid/stat"
  done
}
counters() { curl -fs "$platform/admin/counters"; }
report_usage() {
  python3 - "$1" "$2" "$3" "$4" "$5" "${entry_pids[@]}" <<'PY'
import json, os, sys
label, seconds, before, after, counters = sys.argv[1], float(sys.argv[2]), sys.argv[3], sys.argv[4], sys.argv[5]
tick = os.sysconf("SC_CLK_TCK")
start = dict(l.split() for l in before.splitlines())
c0, c1 = (json.loads(x) for x in counters.split("\n"))
print(f"{label} ({seconds:.0f} s):")
for line in after.splitlines():
    pid, ticks = line.split()
    core = (int(ticks) - int(start[pid])) / tick / seconds * 100
    rss = next(int(l.split()[1]) for l in open(f"/proc/{pid}/status") if l.startswith("VmRSS"))
    print(f"  entry process {pid}: {core:.1f}% of a core, RSS {rss/1024:.0f} MB")
print(f"  store: {(c1['writes']-c0['writes'])/seconds:.1f} writes/s, {(c1['reads']-c0['reads'])/seconds:.1f} reads/s, {c1['pending_watches']} pending watches")
PY
}

if [ "$keep" = yes ]; then
  cat <<TXT

The cell is up. Balancer: http://127.0.0.1:$p_balancer  Logs: $dir
Try:
  ${ctl[*]} status
  ${ctl[*]} template list
  curl -si http://127.0.0.1:$p_balancer/v1/workspaces/kalnins/templates/cut-list/requests -H 'Content-Type: application/json' -d '{"run_ms": 50}'
  ${ctl[*]} drain runner-orders-0000 --reason "disk"
  ${ctl[*]} timeline
  bin/agateyard-load scenarios/demo.toml --entry 127.0.0.1:$p_balancer
Ctrl-C stops it.
TXT
  wait
  exit 0
fi

before=$(usage) c0=$(counters)
sleep 4
report_usage "idle" 4 "$before" "$(usage)" "$c0
$(counters)"

before=$(usage) c0=$(counters) began=$(date +%s.%N)
code=0
bin/agateyard-load scenarios/demo.toml --entry "127.0.0.1:$p_balancer" --json "$dir/report.json" \
  --check-effects "127.0.0.1:$p_orders,127.0.0.1:$p_fleece,127.0.0.1:$p_workers" >"$dir/load.txt" 2>&1 || code=$?
seconds=$(echo "$(date +%s.%N) - $began" | bc 2>/dev/null || python3 -c "import time; print(time.time()-$began)")
cat "$dir/load.txt"
report_usage "under the demo load, settling included" "$seconds" "$before" "$(usage)" "$c0
$(counters)"

request=$("${ctl[@]}" timeline -o json | python3 -c '
import json, sys
events = json.load(sys.stdin)
events = events.get("events", events) if isinstance(events, dict) else events
by = {}
for e in events:
    if e.get("request"):
        by.setdefault(e["request"], set()).add(e["process"])
print(max(by, key=lambda r: len(by[r])))')
echo
echo "timeline of request $request:"
"${ctl[@]}" timeline --request "$request"
exit "$code"
