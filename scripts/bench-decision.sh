#!/usr/bin/env bash
# Measures the decision latency of a cell of 9 entry processes with room free:
# the time between the events "queued" and "start" of a request.
# Usage: bench-decision.sh [RATE_FACTOR]
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/cell.sh
start_cell 9 30 6
entries=$(printf '127.0.0.1:%s,' "${entry_http[@]}")
bin/agateyard-load scenarios/decision.toml --entry "${entries%,}" --rate-factor "${1:-1}"
# The rings keep the last seconds of the load: 65,536 events a process.
"${ctl[@]}" timeline -o json >"$dir/timeline.json"
python3 scripts/decision.py "$dir/timeline.json"
uptime
