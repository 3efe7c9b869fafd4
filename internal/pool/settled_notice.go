package pool

import "github.com/agateyard/agateyard/internal/model"

// SettledNotice is the completion of an attempt that must be delivered to a shard
// owner.
type SettledNotice struct {
	// To is the incarnation of the shard owner that dispatched the attempt. It is ""
	// if the pool knows the attempt only from a session reply: deliver to the owner of
	// the attempt's shard.
	To      string
	Settled model.Settled
}
