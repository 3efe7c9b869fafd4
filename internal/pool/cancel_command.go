package pool

import "github.com/agateyard/agateyard/internal/model"

// CancelCommand cancels an attempt at its endpoint, for a shard owner or as the
// CommandStop of a preemption: a running attempt is stopped, and one that has not
// started can't start any more. Pass the result of the call to
// Pool.HandleCancelResult.
type CancelCommand struct {
	Endpoint string
	Attempt  model.AttemptID
	Token    uint64
}
