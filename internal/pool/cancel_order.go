package pool

import "github.com/agateyard/agateyard/internal/model"

// CancelCommand is the cancel command for an attempt. Its result goes to Pool.Cancelled.
type CancelCommand struct {
	Endpoint string
	Attempt  model.AttemptID
	Token    uint64
}
