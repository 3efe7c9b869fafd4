package endpoint

import (
	"context"

	"github.com/agateyard/agateyard/internal/model"
)

// Client talks to one endpoint. It is safe for concurrent use.
type Client interface {
	// Session takes over, renews the lease and returns the report, or ErrStaleToken.
	Session(ctx context.Context, req SessionRequest) (SessionReply, error)
	// Start starts an attempt. Errors other than ErrLost and ErrRepeated mean that it did not start.
	Start(ctx context.Context, req StartRequest) (StartReply, error)
	// Cancel stops the attempt, or blocks it if it has not arrived. It reports whether the attempt had started.
	Cancel(ctx context.Context, token uint64, attempt model.AttemptID) (started bool, err error)
	// Checkpoint saves the progress of a task and stops it.
	Checkpoint(ctx context.Context, token uint64, attempt model.AttemptID) error
	// Throttle slows a task down, or lets it run freely again.
	Throttle(ctx context.Context, token uint64, attempt model.AttemptID, on bool) error
	// Close closes idle connections.
	Close()
}
