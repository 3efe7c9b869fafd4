package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Snapshot is the exported state of one shard for an orderly handover. All
// fields are exported for gob.
type Snapshot struct {
	Shard   model.ShardID
	Records []Record  // accepted, recorded and finished requests
	Live    []LiveJob // requests with running attempts
	Orphans []OrphanAttempt
}

// LiveJob is a request with running attempts.
type LiveJob struct {
	Key         model.RequestKey
	BodyHash    uint64
	ContentType string
	Body        []byte
	Submitted   time.Time
	Started     time.Time
	MaxWait     time.Duration
	Retries     int
	Attempts    int
	Failed      []string // endpoints that failed the request
	Cancelled   bool
	Running     []IntentAttempt
}

// OrphanAttempt is an attempt found during recovery whose request is not known yet.
type OrphanAttempt struct {
	Pool  model.PoolID
	State model.AttemptState
	Found time.Time
}
