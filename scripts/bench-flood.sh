#!/usr/bin/env bash
# Floods a cell of 9 entry processes with one template and prints what the other
# templates keep. Usage: bench-flood.sh least|urgent [RATE_FACTOR]
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/cell.sh
start_cell 9 10 6
begin_usage
# Straight to the entry processes: at two descriptors a connection the stand-in
# balancer runs out of them before the flood is at its height.
entries=$(printf '127.0.0.1:%s,' "${entry_http[@]}")
bin/agateyard-load "scenarios/flood-$1.toml" --entry "${entries%,}" --rate-factor "${2:-1}" --check-effects "$admins"
end_usage "flood of the $1 urgent template"
