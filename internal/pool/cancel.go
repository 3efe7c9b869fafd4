package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Cancel returns the command that cancels an unsettled attempt.
func (p *Pool) Cancel(now time.Time, attempt model.AttemptID) (CancelCommand, bool) {
	a := p.attempts[attempt]
	if a == nil || a.told {
		return CancelCommand{}, false
	}
	return CancelCommand{Endpoint: a.endpoint.id, Attempt: a.id, Token: p.token}, true
}

// HandleCancelResult handles the result of a cancel command. An attempt that had not
// started is blocked from now on. It is not settled here: the reply may come
// from an endpoint that restarted after running it, which the next report shows.
func (p *Pool) HandleCancelResult(now time.Time, attempt model.AttemptID, started bool, err error) Effects {
	a := p.attempts[attempt]
	if a == nil || err != nil {
		return p.take()
	}
	if started {
		a.seen = true
	} else if now.Before(a.limit) {
		a.limit = now
	}
	p.poll(a.endpoint)
	return p.take()
}
