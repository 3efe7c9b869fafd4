package pool

import (
	"errors"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
)

func isRepeated(err error) bool { return errors.Is(err, endpoint.ErrRepeated) }

// handleRefusal updates the endpoint after a definite refusal of a start.
func (p *Pool) handleRefusal(now time.Time, e *endpointState, err error) {
	switch {
	case errors.Is(err, endpoint.ErrStaleToken):
		p.fence(now, e)
	case errors.Is(err, endpoint.ErrLeaving):
		e.leavingReported = true
		p.stateChanged(now, e)
	case errors.Is(err, endpoint.ErrNoCapacity):
		// The owner and the endpoint disagree on the free capacity; the next report shows why.
		p.addEvent("no-room", "", e.id)
		p.requestPoll(e)
	case errors.Is(err, endpoint.ErrNotSent):
		p.requestPoll(e)
	}
}

// requestPoll asks the event loop to send a session call to the endpoint immediately.
func (p *Pool) requestPoll(e *endpointState) {
	if !e.sessionInFlight && !slices.Contains(p.pending.Poll, e.id) {
		p.pending.Poll = append(p.pending.Poll, e.id)
	}
}
