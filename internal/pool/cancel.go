package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Cancel returns the command that cancels an unsettled attempt.
func (p *Pool) Cancel(now time.Time, attempt model.AttemptID) (CancelCommand, bool) {
	a := p.attempts[attempt]
	if a == nil || a.chargeOnly {
		return CancelCommand{}, false
	}
	return CancelCommand{Endpoint: a.endpoint.id, Attempt: a.id, Token: p.token}, true
}

// HandleCancelResult handles the result of a cancel command. An attempt that had
// not started can't start from now on. It is not settled here: the endpoint may
// have run it and then restarted before it replied, which the next session reply
// shows.
func (p *Pool) HandleCancelResult(now time.Time, attempt model.AttemptID, started bool, err error) Effects {
	a := p.attempts[attempt]
	if a == nil || err != nil {
		return p.takeEffects()
	}
	if started {
		a.hasStarted = true
	} else if now.Before(a.startDeadline) {
		a.startDeadline = now
	}
	p.requestPoll(a.endpoint)
	return p.takeEffects()
}
