package pool

import "github.com/agateyard/agateyard/internal/model"

// SettledNotice is the end of an attempt and the shard owner to be told.
type SettledNotice struct {
	To      string // incarnation that dispatched; "" when known only from an endpoint's list: route by shard
	Settled model.Settled
}
