package pool

import "github.com/agateyard/agateyard/internal/model"

// CancelOrder is the cancel command for an attempt. Its result goes to Pool.Cancelled.
type CancelOrder struct {
	Endpoint string
	Attempt  model.AttemptID
	Token    uint64
}
