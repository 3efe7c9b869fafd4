#!/usr/bin/env bash
# Runs the test suite and skips exactly the tests that KNOWN-RED.txt lists. An entry
# in that file starts with a line "test: <TestName>".
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
if [ -s KNOWN-RED.txt ]; then
  names=$(sed -n 's/^test: *//p' KNOWN-RED.txt)
  if [ -n "$names" ]; then
    echo "known red, not run:"
    echo "$names" | sed 's/^/  /'
    skip=(-skip "^($(echo "$names" | paste -sd'|'))\$")
  fi
fi
# PACKAGES selects the packages to test; flags are passed to go test.
exec go test -count=1 -timeout 20m "${skip[@]}" "$@" ${PACKAGES:-./...}
