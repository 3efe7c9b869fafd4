package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// attemptState is an attempt whose capacity is charged.
type attemptState struct {
	id        model.AttemptID
	to        string // shard owner that dispatched; "" when known only from a list
	endpoint  *endpointState
	template  *templateState
	resources model.Resources
	instance  string // of the endpoint when the attempt was begun or last listed
	begun     time.Time
	limit     time.Time // no start is possible after this

	callOpen  bool      // the start call is under way
	callEnded time.Time // zero for attempts of an earlier owner
	accepted  bool
	seen      bool // has certainly started
	probe     bool
	told      bool // settled before; charged only because the endpoint still lists it

	reportedEnd   *endpoint.EndedAttempt // end known from the list while the start call is open
	reportedEndAt time.Time

	stage   preemptStage
	stageAt time.Time
}

// over reports whether a report that does not list the attempt proves that it
// is over. sent is when the session call of the report was sent.
func (a *attemptState) over(sent time.Time) bool {
	if a.callOpen || !sent.After(a.callEnded) {
		return false
	}
	return a.seen || a.accepted || sent.After(a.limit)
}

// endWithoutRecord returns the end of an attempt that is over and of which the
// endpoint has no record.
func (a *attemptState) endWithoutRecord(instance string) model.AttemptEnd {
	if a.seen || a.accepted || a.instance != instance {
		return model.AttemptUnknown
	}
	return model.AttemptNotStarted
}

// preemptable reports whether the attempt may be made to yield to work of the
// given urgency. Work that may run only once never is.
func (a *attemptState) preemptable(urgency int) bool {
	t := a.template
	return t.known && t.Idempotent && t.Urgency < urgency &&
		a.stage == stageNone && !a.told && (a.seen || a.accepted)
}
