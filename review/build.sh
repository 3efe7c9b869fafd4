#!/usr/bin/env bash
# Builds the stand-ins of the review cases. Run it in any directory, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/cases ./review/harness
