package entry

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
)

// stopRetryInterval is the time between two requests to stop an attempt.
const stopRetryInterval = 500 * time.Millisecond

// stopRetrier repeats requests to stop attempts until their completions are
// known. A request may arrive at the pool owner before the dispatch of its
// attempt and is ignored then.
type stopRetrier struct {
	pending   map[model.AttemptID]model.PoolID // empty if the pool is unknown: the request goes to all pools
	nextRetry time.Time
}

func newStopRetrier() *stopRetrier {
	return &stopRetrier{pending: make(map[model.AttemptID]model.PoolID)}
}

// add adds the stop requests of the shard table.
func (s *stopRetrier) add(now time.Time, cancels []shard.CancelAttempt) {
	if len(s.pending) == 0 {
		s.nextRetry = now.Add(stopRetryInterval)
	}
	for _, c := range cancels {
		s.pending[c.Attempt] = c.Pool
	}
}

// remove removes an attempt whose completion is known.
func (s *stopRetrier) remove(a model.AttemptID) { delete(s.pending, a) }

// retry returns the attempts whose stop request is to be repeated, by pool. It
// removes attempts that held does not select: the new owner of their shard
// handles them.
func (s *stopRetrier) retry(now time.Time, held func(model.AttemptID) bool) map[model.PoolID][]model.AttemptID {
	if len(s.pending) == 0 || now.Before(s.nextRetry) {
		return nil
	}
	s.nextRetry = now.Add(stopRetryInterval)
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
