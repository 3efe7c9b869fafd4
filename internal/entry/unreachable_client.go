package entry

import (
	"context"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// unreachableClient is the client of an endpoint that no longer has a session.
// All calls fail with endpoint.ErrNotSent.
type unreachableClient struct{}

func (unreachableClient) Session(context.Context, endpoint.SessionRequest) (endpoint.SessionReply, error) {
	return endpoint.SessionReply{}, endpoint.ErrNotSent
}

func (unreachableClient) Start(context.Context, endpoint.StartRequest) (endpoint.StartReply, error) {
	return endpoint.StartReply{}, endpoint.ErrNotSent
}

func (unreachableClient) Cancel(context.Context, uint64, model.AttemptID) (bool, error) {
	return false, endpoint.ErrNotSent
}

func (unreachableClient) Checkpoint(context.Context, uint64, model.AttemptID) error {
	return endpoint.ErrNotSent
}

func (unreachableClient) Throttle(context.Context, uint64, model.AttemptID, bool) error {
	return endpoint.ErrNotSent
}

func (unreachableClient) Close() {}
