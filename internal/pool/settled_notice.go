package pool

import "github.com/agateyard/agateyard/internal/model"

// SettledNotice is the end of an attempt and the shard owner to notify.
type SettledNotice struct {
	To      string // incarnation that dispatched; "" if known only from an endpoint's list: route by shard
	Settled model.Settled
}
