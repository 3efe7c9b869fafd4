package pool

import "github.com/agateyard/agateyard/internal/model"

// CancelCommand is a command that cancels an attempt. Pass its result to
// Pool.HandleCancelResult.
type CancelCommand struct {
	Endpoint string
	Attempt  model.AttemptID
	Token    uint64
}
