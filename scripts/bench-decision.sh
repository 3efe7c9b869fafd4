#!/usr/bin/env bash
# Measures the decision latency of a cell of 9 entry processes with free capacity:
# the time between the events "queued" and "start" of a request.
# Usage: bench-decision.sh [RATE_FACTOR]
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/cell.sh
start_cell 9 30 6
entries=$(printf '127.0.0.1:%s,' "${entry_http[@]}")
bin/agateyard-load scenarios/decision.toml --entry "${entries%,}" --rate-factor "${1:-1}"
# Each process keeps its latest 65,536 events in a ring buffer, which covers the
# last seconds of the load.
"${ctl[@]}" timeline -o json >"$dir/timeline.json"
python3 scripts/decision.py "$dir/timeline.json"
uptime
