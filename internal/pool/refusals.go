package pool

import (
	"errors"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
)

func isRepeated(err error) bool { return errors.Is(err, endpoint.ErrRepeated) }

// noteRefusal learns from a definite refusal of a start.
func (p *Pool) noteRefusal(now time.Time, e *endpointState, err error) {
	switch {
	case errors.Is(err, endpoint.ErrStaleToken):
		p.fence(now, e)
	case errors.Is(err, endpoint.ErrLeaving):
		e.leavingReported = true
		p.stateChanged(now, e)
	case errors.Is(err, endpoint.ErrNoRoom):
		// The accounts of owner and endpoint differ; the next report shows why.
		p.event("no-room", "", e.id)
		p.poll(e)
	case errors.Is(err, endpoint.ErrNotSent):
		p.poll(e)
	}
}

// poll asks the event loop for a session call to the endpoint at once.
func (p *Pool) poll(e *endpointState) {
	if !e.calling && !slices.Contains(p.pending.Poll, e.id) {
		p.pending.Poll = append(p.pending.Poll, e.id)
	}
}
