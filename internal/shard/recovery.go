package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Recovery describes how a shard was acquired by its owner. The zero value means that nothing
// has to be recovered.
type Recovery struct {
	// TakenAt is the time of the takeover from an owner that did not hand over. Requests whose
	// identifiers may have been generated before it, and requests with an ordering key, wait
	// until the recovery has ended.
	TakenAt time.Time
	// Incomplete means that records of the earlier owner are missing: a request with an older
	// identifier may have run although there is no record of it.
	Incomplete bool
	// Pools are the pools for which a RecoveryReport must be received.
	Pools []model.PoolID
}

// RecoveryReport is what the owner of one pool knows about the attempts of a shard.
type RecoveryReport struct {
	Shard     model.ShardID
	Pool      model.PoolID
	Attempts  []model.AttemptState
	Reachable bool // false if the pool owner did not answer; a later report may replace this one
	// Unreachable are endpoints of the pool whose attempts its owner does not know.
	Unreachable []string
}
