package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// shardState is one owned shard.
type shardState struct {
	id     model.ShardID
	frozen bool
	jobs   map[uint64]*job // by hash of the request key
	lines  map[lineKey]*orderLine

	recovering bool // not all records and reports have come
	takenAt    time.Time
	replayed   bool
	reports    map[model.PoolID]*poolReport
	found      map[uint64][]foundAttempt // attempts without a request, by hash of its key
	running    int                       // of them, not ended
	held       int                       // requests in phaseHeld
	conflicts  []waiter                  // sent another body than the replayed record
	moved      []waiter                  // joined a record that the old owner released
}

// poolReport is the state of the report of one pool.
type poolReport struct {
	come        bool
	reachable   bool
	unreachable map[string]bool // endpoints
}

// complete reports whether the attempts on all endpoints of the pool are known.
func (r *poolReport) complete() bool {
	return r.come && r.reachable && len(r.unreachable) == 0
}

// foundAttempt is an attempt that a pool owner reported and no request here started.
type foundAttempt struct {
	pool  model.PoolID
	state model.AttemptState
	at    time.Time
}

func newShardState(id model.ShardID) *shardState {
	return &shardState{
		id:      id,
		jobs:    map[uint64]*job{},
		lines:   map[lineKey]*orderLine{},
		reports: map[model.PoolID]*poolReport{},
		found:   map[uint64][]foundAttempt{},
	}
}

// sorted returns the requests in order of their arrival here.
func (s *shardState) sorted() []*job {
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
	return jobs
}

// join puts the request into the line of its ordering key, if it has one.
func (s *shardState) join(j *job) {
	if j.key.OrderingKey == "" || j.line != nil {
		return
	}
	key := lineKey{j.key.Template, j.key.OrderingKey}
	line := s.lines[key]
	if line == nil {
		line = &orderLine{key: key}
		s.lines[key] = line
	}
	line.insert(j)
}

// leave takes the request out of its line and returns the request whose turn
// comes by that, or nil.
func (s *shardState) leave(j *job) *job {
	line := j.line
	if line == nil {
		return nil
	}
	wasFront := line.front == j
	line.unlink(j)
	if line.front == nil {
		delete(s.lines, line.key)
		return nil
	}
	if !wasFront {
		return nil
	}
	return line.front
}

// mintedBefore reports whether the identifier may have been submitted to an
// earlier owner. An identifier that carries no time counts as old.
func (s *shardState) mintedBefore(id string, skew time.Duration) bool {
	minted, ok := model.IDTimestamp(id)
	return !ok || !minted.After(s.takenAt.Add(skew))
}

// blind reports whether the attempts on some endpoint that could run the template are unknown.
func (s *shardState) blind(t *templateState) bool {
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

// sees reports whether an attempt at the endpoint would have been reported.
func (s *shardState) sees(pool model.PoolID, endpoint string) bool {
	report := s.reports[pool]
	return report != nil && report.come && report.reachable && !report.unreachable[endpoint]
}

// mustHold reports whether the request waits until earlier attempts are known.
func (s *shardState) mustHold(j *job, skew time.Duration) bool {
	if s.takenAt.IsZero() {
		return j.key.OrderingKey != "" && s.running > 0
	}
	keyed := j.key.OrderingKey != ""
	old := s.mintedBefore(j.key.ID, skew)
	if s.recovering {
		return keyed || old
	}
	// The attempt of an idempotent request has no record; it may run where nobody looks.
	if !j.needsIntent() && (keyed || old) && s.blind(j.template) {
		return true
	}
	return keyed && s.running > 0
}
