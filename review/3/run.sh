#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review/cases ] && [ -x ../../target/agateyard-scheduler ] || { echo "cannot run: build first"; exit 2; }
export CASE=only-runner AGATEYARD_SCHEDULER=../../target/agateyard-scheduler
exec ../../target/review/cases
