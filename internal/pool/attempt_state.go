package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// attemptState is an attempt that uses capacity of its endpoint, which is counted in
// endpointState.charged.
type attemptState struct {
	id            model.AttemptID
	shardOwner    string // incarnation that dispatched; "" when known only from a session reply
	endpoint      *endpointState
	template      *templateState
	resources     model.Resources
	instance      string    // of the endpoint when the attempt was dispatched or last listed
	createdAt     time.Time // when it was dispatched or adopted
	startDeadline time.Time // the attempt can't start after this: the deadline sent to the endpoint plus StartMargin, or the time of a cancel

	startInFlight bool      // the start call has not returned
	startEndedAt  time.Time // when the start call returned; zero for attempts of an earlier owner
	accepted      bool      // the endpoint accepted the start
	hasStarted    bool      // has certainly started, or must be treated as if it had
	probe         bool      // tests a quarantined endpoint
	// chargeOnly is set if the attempt is charged only because the endpoint lists it: it is
	// already settled, or active on another endpoint. Its completion is not recorded.
	chargeOnly bool

	reportedEnd   *endpoint.EndedAttempt // end listed by the endpoint while the start call was in flight
	reportedEndAt time.Time

	stage   preemptStage
	stageAt time.Time
}

// provenEndedBy reports whether a session reply that does not list the attempt
// proves that the attempt is over. sent is when the session call was sent.
func (a *attemptState) provenEndedBy(sent time.Time) bool {
	if a.startInFlight || !sent.After(a.startEndedAt) {
		return false
	}
	return a.hasStarted || a.accepted || sent.After(a.startDeadline)
}

// endWithoutRecord returns the kind of completion of an attempt that is over and
// that the endpoint has no record of.
func (a *attemptState) endWithoutRecord(instance string) model.AttemptEnd {
	if a.hasStarted || a.accepted || a.instance != instance {
		return model.AttemptUnknown
	}
	return model.AttemptNotStarted
}

// preemptable reports whether work of the given urgency may preempt the attempt.
// Non-idempotent work is never preempted.
func (a *attemptState) preemptable(urgency int) bool {
	t := a.template
	return t.known && t.Idempotent && t.Urgency < urgency &&
		a.stage == stageNone && !a.chargeOnly && (a.hasStarted || a.accepted)
}
