#!/usr/bin/env bash
# Runs gofumpt, go vet and staticcheck. Prints unformatted files and findings, and
# fails if there are any.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(go tool gofumpt -l cmd internal platform)
if [ -n "$unformatted" ]; then
  echo "gofumpt differs in:"
  echo "$unformatted"
  exit 1
fi
go vet ./...
go tool staticcheck ./...
