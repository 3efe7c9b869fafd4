package control

import (
	"context"
	"time"
)

type sendDeadlineKey struct{}

// WithSendDeadline sets when a request becomes stale. A timeout alone doesn't prevent that a request which waited for a
// connection is sent after a pause: the timers of the Go runtime stand still while the machine is suspended.
func WithSendDeadline(ctx context.Context, deadline time.Duration) context.Context {
	return context.WithValue(ctx, sendDeadlineKey{}, deadline)
}

// CheckSendDeadline returns an error that LocalFailure reports if a request is stale. Clients call it immediately before
// they write the request to the connection.
func CheckSendDeadline(ctx context.Context) error {
	deadline, ok := ctx.Value(sendDeadlineKey{}).(time.Duration)
	if ok && (Clock{}).Now() > deadline {
		return errPaused
	}
	return nil
}
