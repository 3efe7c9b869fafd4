package load

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Verdict is what the client knows of a request at the end.
type Verdict string

// The verdicts: the final outcomes, and what isn't an outcome.
const (
	VerdictRan     Verdict = "ran"
	VerdictNotRun  Verdict = "not-run"
	VerdictUnknown Verdict = "unknown"
	VerdictError   Verdict = "error"   // no final answer within the limit
	VerdictRunning Verdict = "running" // service with all replicas running
)

// result is the end of one submission.
type result struct {
	verdict    Verdict
	reason     model.Reason
	retryAfter time.Duration
	failed     bool            // ran, and the work itself failed
	attempt    model.AttemptID // that the answer names
	wrong      string          // why the answer is not the right one
	err        error           // of an error verdict
	sent       time.Time
	received   time.Time
	accepted   time.Duration // until the acceptance of a job
	status     *model.JobStatus
}

// acceptedAt returns when the system took the request on or answered it.
func (r result) acceptedAt() time.Time {
	switch {
	case r.accepted > 0:
		return r.sent.Add(r.accepted)
	case r.verdict == VerdictError:
		return time.Time{}
	}
	return r.received
}

// submission is what the effect check needs of one submission.
type submission struct {
	echo       string
	stream     string
	template   string // "workspace/name"
	ordering   string // value of the ordering field, empty without one
	idempotent bool
	verdict    Verdict
	failed     bool
	attempt    model.AttemptID
	sent       time.Time
	received   time.Time
	accepted   time.Time // acceptance of a job or final answer to a request; zero without either
}
