package entry

import (
	"context"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// protectedClient turns a panic of a call to an endpoint, for example in the decoder of its
// answer, into an error whose outcome is unknown.
type protectedClient struct {
	endpoint.Client
	n *Node
}

func (c protectedClient) call(command string, f func() error) error {
	err := c.n.protect(command, f)
	if err == errPanic {
		return &endpoint.CallError{Command: command, Kind: endpoint.ErrOutcomeUnknown, Cause: err}
	}
	return err
}

// Session opens a session or renews its lease.
func (c protectedClient) Session(ctx context.Context, req endpoint.SessionRequest) (reply endpoint.SessionReply, err error) {
	err = c.call("session", func() (err error) {
		reply, err = c.Client.Session(ctx, req)
		return err
	})
	return reply, err
}

// Start starts an attempt.
func (c protectedClient) Start(ctx context.Context, req endpoint.StartRequest) (reply endpoint.StartReply, err error) {
	err = c.call("start", func() (err error) {
		reply, err = c.Client.Start(ctx, req)
		return err
	})
	return reply, err
}

// Cancel stops an attempt.
func (c protectedClient) Cancel(ctx context.Context, token uint64, attempt model.AttemptID) (started bool, err error) {
	err = c.call("cancel", func() (err error) {
		started, err = c.Client.Cancel(ctx, token, attempt)
		return err
	})
	return started, err
}

// Checkpoint saves the progress of a task and stops it.
func (c protectedClient) Checkpoint(ctx context.Context, token uint64, attempt model.AttemptID) error {
	return c.call("checkpoint", func() error { return c.Client.Checkpoint(ctx, token, attempt) })
}

// Throttle turns throttling of a task on or off.
func (c protectedClient) Throttle(ctx context.Context, token uint64, attempt model.AttemptID, on bool) error {
	return c.call("throttle", func() error { return c.Client.Throttle(ctx, token, attempt, on) })
}
