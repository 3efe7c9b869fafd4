#!/usr/bin/env bash
# Runs a whole cell on the loopback interface: platform, runners, workers, a
# load balancer and 3 entry processes in 3 zones. Applies the templates of both
# workspaces, sends the demo load, checks the invariants against the effect logs of
# the endpoints, prints the report and the timeline of one request, and stops the
# cell. With --keep the cell stays up until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/cell.sh
start_cell 3 6 6

if [ "${1:-}" = "--keep" ]; then
  cat <<TXT

The cell is up. Balancer: http://$balancer
Try:
  ${ctl[*]} status
  ${ctl[*]} template list
  curl -si http://$balancer/v1/workspaces/kalnins/templates/cut-list/requests -H 'Content-Type: application/json' -d '{"run_ms": 50}'
  ${ctl[*]} drain runner-orders-0000 --reason "disk"
  ${ctl[*]} timeline
  bin/agateyard-load scenarios/demo.toml --entry $balancer
Ctrl-C stops it.
TXT
  wait
  exit 0
fi

begin_usage
sleep 4
end_usage "idle"

begin_usage
code=0
bin/agateyard-load scenarios/demo.toml --entry "$balancer" --check-effects "$admins" >"$dir/load.txt" 2>&1 || code=$?
cat "$dir/load.txt"
end_usage "under the demo load, settling included"

# Show the request that passed through the most processes.
request=$("${ctl[@]}" timeline -o json | python3 -c '
import json, sys
events = json.load(sys.stdin)
events = events.get("events", events) if isinstance(events, dict) else events
processes = {}
for e in events:
    if e.get("request"):
        processes.setdefault(e["request"], set()).add(e["process"])
print(max(processes, key=lambda r: len(processes[r])))')
echo
echo "timeline of request $request:"
"${ctl[@]}" timeline --request "$request"
exit "$code"
