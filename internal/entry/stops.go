package entry

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
)

// stopRetryInterval is the time between two requests to stop an attempt.
const stopRetryInterval = 500 * time.Millisecond

// stops repeats requests to stop attempts until their ends are known. A request
// may overtake the dispatch of its attempt, of which the pool owner knows
// nothing then.
type stops struct {
	pending map[model.AttemptID]model.PoolID // empty pool: not known, every owner is asked
	next    time.Time
}

func newStops() *stops {
	return &stops{pending: make(map[model.AttemptID]model.PoolID)}
}

// add takes the requests of the shard table.
func (s *stops) add(now time.Time, cancels []shard.CancelAttempt) {
	if len(s.pending) == 0 {
		s.next = now.Add(stopRetryInterval)
	}
	for _, c := range cancels {
		s.pending[c.Attempt] = c.Pool
	}
}

// ended forgets an attempt whose end is known.
func (s *stops) ended(a model.AttemptID) { delete(s.pending, a) }

// retry returns what to ask again, by pool. Attempts whose shard is no longer
// held here are left to its new owner.
func (s *stops) retry(now time.Time, held func(model.AttemptID) bool) map[model.PoolID][]model.AttemptID {
	if len(s.pending) == 0 || now.Before(s.next) {
		return nil
	}
	s.next = now.Add(stopRetryInterval)
	byPool := make(map[model.PoolID][]model.AttemptID)
	for a, pool := range s.pending {
		if !held(a) {
			delete(s.pending, a)
			continue
		}
		byPool[pool] = append(byPool[pool], a)
	}
	return byPool
}
