package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// shardState is one owned shard.
type shardState struct {
	id             model.ShardID
	frozen         bool            // being handed over
	jobs           map[uint64]*job // by hash of the request key
	orderingQueues map[orderingQueueKey]*orderingQueue

	recovering       bool // not all records and pool reports have been received
	takeoverTime     time.Time
	incomplete       bool // records of the earlier owner are missing
	replayed         bool
	reports          map[model.PoolID]*poolReport
	unmatched        map[uint64][]unmatchedAttempt // attempts not matched with a request yet, by hash of the request key
	unmatchedRunning int                           // unmatched attempts that have not ended
	heldCount        int                           // requests in phaseHeld
	conflictWaiters  []waiter                      // of requests that a replayed record has replaced; answered as conflicts
	movedWaiters     []waiter                      // joined a record of a shard that the old owner released
}

// poolReport tracks whether the recovery report of one pool has been received.
type poolReport struct {
	received    bool
	reachable   bool
	unreachable map[string]bool // endpoints
}

// complete reports whether the attempts on all endpoints of the pool are known.
func (r *poolReport) complete() bool {
	return r.received && r.reachable && len(r.unreachable) == 0
}

// unmatchedAttempt is an attempt reported by a pool owner that has not been matched with a
// request of this shard.
type unmatchedAttempt struct {
	pool       model.PoolID
	state      model.AttemptState
	reportedAt time.Time
}

func newShardState(id model.ShardID) *shardState {
	return &shardState{
		id:             id,
		jobs:           map[uint64]*job{},
		orderingQueues: map[orderingQueueKey]*orderingQueue{},
		reports:        map[model.PoolID]*poolReport{},
		unmatched:      map[uint64][]unmatchedAttempt{},
	}
}

// jobsByArrival returns the requests ordered by their arrival at this owner.
func (s *shardState) jobsByArrival() []*job {
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
	return jobs
}

// joinOrderingQueue adds the request to the queue of its ordering key, if it has one.
func (s *shardState) joinOrderingQueue(j *job) {
	if j.key.OrderingKey == "" || j.keyQueue != nil {
		return
	}
	key := orderingQueueKey{j.key.Template, j.key.OrderingKey}
	keyQueue := s.orderingQueues[key]
	if keyQueue == nil {
		keyQueue = &orderingQueue{key: key}
		s.orderingQueues[key] = keyQueue
	}
	keyQueue.insert(j)
}

// leaveOrderingQueue removes the request from the queue of its ordering key. It returns the
// request that becomes first in the queue as a result, or nil.
func (s *shardState) leaveOrderingQueue(j *job) *job {
	keyQueue := j.keyQueue
	if keyQueue == nil {
		return nil
	}
	wasFront := keyQueue.front == j
	keyQueue.unlink(j)
	if keyQueue.front == nil {
		delete(s.orderingQueues, keyQueue.key)
		return nil
	}
	if !wasFront {
		return nil
	}
	return keyQueue.front
}

// mayPredateTakeover reports whether the identifier may have been submitted to an earlier
// owner. An identifier without a timestamp counts as old.
func (s *shardState) mayPredateTakeover(id string, skew time.Duration) bool {
	created, ok := model.IDTimestamp(id)
	return !ok || !created.After(s.takeoverTime.Add(skew))
}

// hasUnreportedEndpoints reports whether attempts are unknown on any endpoint that could run
// the template.
func (s *shardState) hasUnreportedEndpoints(t *templateState) bool {
	for pool, report := range s.reports {
		if !t.runsOn(pool) {
			continue
		}
		if !report.complete() {
			return true
		}
	}
	return false
}

// endpointReported reports whether an attempt on the endpoint would have been included in the
// received reports.
func (s *shardState) endpointReported(pool model.PoolID, endpoint string) bool {
	report := s.reports[pool]
	return report != nil && report.received && report.reachable && !report.unreachable[endpoint]
}

// mustHold reports whether the request must wait until earlier attempts are known.
func (s *shardState) mustHold(j *job, skew time.Duration) bool {
	if s.takeoverTime.IsZero() {
		return j.key.OrderingKey != "" && s.unmatchedRunning > 0
	}
	keyed := j.key.OrderingKey != ""
	old := s.mayPredateTakeover(j.key.ID, skew)
	if s.recovering {
		return keyed || old
	}
	// An attempt of an idempotent request has no record; it may be running on an unreported endpoint.
	if !j.needsIntent() && (keyed || old) && s.hasUnreportedEndpoints(j.template) {
		return true
	}
	return keyed && s.unmatchedRunning > 0
}
