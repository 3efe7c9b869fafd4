package bench

// templates are the templates of the measured load. Jobs of the template "waiting"
// stay queued in a cell without workers: while no worker is known, no job is
// refused as infeasible.
const templates = `workspace = "bench"
weight = 1.0

[template.ask]
kind = "request"
service = "orders"
urgency = 5
max_wait = "10s"
idempotent = true
flood_share = 1.0
run_limit = "30s"
retry_limit = 2

[template.charge]
kind = "request"
service = "orders"
urgency = 5
max_wait = "10s"
idempotent = false
flood_share = 1.0
run_limit = "30s"

[template.task]
kind = "job"
urgency = 5
max_wait = "1m"
idempotent = true
flood_share = 1.0
cores_milli = 1000
memory_mb = 1024
run_limit = "5m"
retry_limit = 2

[template.task-once]
kind = "job"
urgency = 5
max_wait = "1m"
idempotent = false
flood_share = 1.0
cores_milli = 1000
memory_mb = 1024
run_limit = "5m"

[template.waiting]
kind = "job"
urgency = 1
max_wait = "2h"
idempotent = true
flood_share = 1.0
cores_milli = 1000
memory_mb = 1024
run_limit = "5m"
retry_limit = 2
`
