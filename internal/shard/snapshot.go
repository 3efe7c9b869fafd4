package shard

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Snapshot is the exported state of one shard for a handover. All fields are exported for gob.
type Snapshot struct {
	Shard    model.ShardID
	Recovery Recovery        // what the next owner has to finish
	Records  []Record        // of accepted and at-most-once requests
	Answers  []Record        // outcomes of idempotent synchronous requests, which are not journaled
	Live     []LiveJob       // requests that have started, or may have under an earlier owner
	Orphans  []OrphanAttempt // reported by pools, not matched with a request yet
}

// LiveJob is a request that has started, or may have under an earlier owner, and has no outcome.
type LiveJob struct {
	Key       model.RequestKey
	BodyHash  uint64
	Async     bool
	Work      Acceptance
	HasBody   bool
	Submitted time.Time
	Arrived   time.Time
	Started   time.Time
	Attempts  int
	Cancelled bool
	Last      *model.Settled // combined completion of the last round in which an attempt may have run
	Running   []IntentAttempt
	Units     []UnitState
}

// UnitState is the exported state of a unit.
type UnitState struct {
	Round   int
	Retries int
	Refused int             // consecutive rounds in which no attempt started
	Failed  []string        // endpoints on which it failed
	Ends    []model.Settled // completions of tasks whose gang is still running
}

// OrphanAttempt is an attempt reported during a recovery or handover that is not matched with
// a request yet.
type OrphanAttempt struct {
	Pool  model.PoolID
	State model.AttemptState
	Found time.Time
}

func sortOrphans(orphans []OrphanAttempt) {
	slices.SortFunc(orphans, func(a, b OrphanAttempt) int {
		return cmp.Or(a.Found.Compare(b.Found), strings.Compare(string(a.State.Attempt), string(b.State.Attempt)))
	})
}

func sortPools(pools []model.PoolID) { slices.Sort(pools) }
