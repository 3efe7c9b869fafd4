package shard

import "github.com/agateyard/agateyard/internal/model"

// LiveAttempt is an attempt that was released for dispatch and whose completion is not known
// yet.
type LiveAttempt struct {
	Attempt  model.AttemptID
	Endpoint string
	Instance string // of the endpoint when the grant was issued; "" when not known
}

// Live returns the released attempts in the pools that the filter selects, by pool.
func (t *Table) Live(in func(model.PoolID) bool) map[model.PoolID][]LiveAttempt {
	out := make(map[model.PoolID][]LiveAttempt)
	for _, a := range t.attempts {
		if a.unit.state == unitRunning && in(a.pool) {
			out[a.pool] = append(out[a.pool], LiveAttempt{Attempt: a.id, Endpoint: a.endpoint, Instance: a.instance()})
		}
	}
	return out
}
