#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-harness-2 ./review/harness-2
