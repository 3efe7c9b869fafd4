#!/usr/bin/env bash
# Floods a cell of 9 entry processes with requests of one template and prints the
# throughput and latency that remain for the other templates.
# Usage: bench-flood.sh least|urgent [RATE_FACTOR]
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/cell.sh
start_cell 9 10 6
begin_usage
# Bypass the stand-in load balancer: it needs two file descriptors per connection
# and runs out of them before the flood reaches its peak.
entries=$(printf '127.0.0.1:%s,' "${entry_http[@]}")
bin/agateyard-load "scenarios/flood-$1.toml" --entry "${entries%,}" --rate-factor "${2:-1}" --check-effects "$admins"
end_usage "flood of the $1 urgent template"
