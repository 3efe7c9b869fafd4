#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/agateyard-scheduler ] && [ -x target/review-harness-2 ] || exit 2
exec target/review-harness-2 -case pending -record review/7/record.txt
