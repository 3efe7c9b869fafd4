package shard

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Snapshot is the exported state of one shard for an orderly handover. All
// fields are exported for gob.
type Snapshot struct {
	Shard    model.ShardID
	Recovery Recovery        // what the next owner has to finish
	Records  []Record        // of accepted and at-most-once requests
	Answers  []Record        // outcomes of idempotent requests, which need no journal
	Live     []LiveJob       // requests that have started
	Orphans  []OrphanAttempt // found by a recovery
}

// LiveJob is a request that has started and has no outcome.
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
	Last      *model.Settled // end of the last attempt that ran
	Running   []IntentAttempt
	Units     []UnitState
}

// UnitState is the state of what one grant starts.
type UnitState struct {
	Round   int
	Retries int
	Refused int
	Failed  []string        // endpoints that failed it
	Ends    []model.Settled // of tasks whose gang still runs
}

// OrphanAttempt is an attempt found during recovery whose request is not known yet.
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
