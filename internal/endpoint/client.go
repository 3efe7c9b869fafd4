package endpoint

import (
	"context"

	"github.com/agateyard/agateyard/internal/model"
)

// Client sends commands to one endpoint. It is safe for concurrent use.
type Client interface {
	// Session opens a session or renews its lease and returns the report of the
	// endpoint. A higher token takes over the endpoint from the earlier owner. Session
	// returns ErrStaleToken if the token is lower than the current one, or equal to it
	// but of another owner.
	Session(ctx context.Context, req SessionRequest) (SessionReply, error)
	// Start starts an attempt. Any error except ErrOutcomeUnknown and ErrRepeated
	// means that the attempt did not start.
	Start(ctx context.Context, req StartRequest) (StartReply, error)
	// Cancel stops the attempt. If the start command has not arrived yet, the
	// endpoint will refuse it. Cancel reports whether the attempt had started.
	Cancel(ctx context.Context, token uint64, attempt model.AttemptID) (started bool, err error)
	// Checkpoint saves the progress of a task and stops it.
	Checkpoint(ctx context.Context, token uint64, attempt model.AttemptID) error
	// Throttle turns throttling of a task on or off.
	Throttle(ctx context.Context, token uint64, attempt model.AttemptID, on bool) error
	// Close closes idle connections.
	Close()
}
