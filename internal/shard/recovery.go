package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Recovery says how a shard comes to its owner. The zero value means that the
// shard has no earlier state.
type Recovery struct {
	// TakenAt is the time of the takeover from an owner that did not hand over.
	// Identifiers minted before it wait until the recovery has ended.
	TakenAt time.Time
	// Pools are the pools of which a RecoveryReport must come.
	Pools []model.PoolID
}

// RecoveryReport is what the owner of one pool knows of the attempts of a shard.
type RecoveryReport struct {
	Shard     model.ShardID
	Pool      model.PoolID
	Attempts  []model.AttemptState
	Reachable bool // false when the owner of the pool did not answer; a later report may correct it
	// Unreachable are endpoints of the pool whose attempts its owner does not know.
	Unreachable []string
}
