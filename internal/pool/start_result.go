package pool

import (
	"errors"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// StartKind says how a start call ended.
type StartKind int

// The outcomes of a start call. The zero value is the safe one.
const (
	StartLost     StartKind = iota // sent, outcome unknown
	StartAnswered                  // complete answer of a runner
	StartAccepted                  // task is running on a worker
	StartRefused                   // definitely not started
)

// StartResult is the result of a start call.
type StartResult struct {
	Kind   StartKind
	Answer model.Answer // with StartAnswered
	RunMS  int64        // with StartAnswered
	Err    error        // with StartRefused and StartLost
}

// definiteRefusals are the errors that prove that an attempt did not start.
// endpoint.ErrRepeated is not among them: the endpoint received the same start
// before and may have run it.
var definiteRefusals = []error{
	endpoint.ErrStaleToken, endpoint.ErrExpired, endpoint.ErrNoCapacity, endpoint.ErrLeaving,
	endpoint.ErrNotSent, endpoint.ErrBadRequest, endpoint.ErrCancelled, endpoint.ErrNoLease,
}

// ResultOf converts the return values of endpoint.Client.Start. An error that
// is not a known refusal counts as lost.
func ResultOf(reply endpoint.StartReply, err error) StartResult {
	if err == nil && reply.Accepted {
		return StartResult{Kind: StartAccepted}
	}
	if err == nil {
		return StartResult{Kind: StartAnswered, Answer: reply.Answer, RunMS: reply.RunMS}
	}
	for _, refusal := range definiteRefusals {
		if errors.Is(err, refusal) {
			return StartResult{Kind: StartRefused, Err: err}
		}
	}
	return StartResult{Kind: StartLost, Err: err}
}
