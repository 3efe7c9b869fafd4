#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-harness-3 ./review/harness-3
