package load

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Verdict is the result of a request as the client sees it.
type Verdict string

// Verdicts: the final outcomes of the system, and two that are not outcomes.
const (
	VerdictRan     Verdict = "ran"
	VerdictNotRun  Verdict = "not-run"
	VerdictUnknown Verdict = "unknown"
	VerdictError   Verdict = "error"   // no final answer within the limit
	VerdictRunning Verdict = "running" // service with all replicas running
)

// result is the result of one submission.
type result struct {
	verdict    Verdict
	reason     model.Reason
	retryAfter time.Duration
	failed     bool            // the work ran and failed
	attempt    model.AttemptID // as named in the answer
	mismatch   string          // why the answer is wrong; empty if it is right
	err        error           // set with VerdictError
	sent       time.Time
	received   time.Time
	accepted   time.Duration // time from sending a job until it was accepted
	status     *model.JobStatus
}

// acceptedAt returns when the system accepted the job or answered the request. It
// is zero if it did neither.
func (r result) acceptedAt() time.Time {
	switch {
	case r.accepted > 0:
		return r.sent.Add(r.accepted)
	case r.verdict == VerdictError:
		return time.Time{}
	}
	return r.received
}

// submission is the data of one submission that the effect check uses.
type submission struct {
	echo       string
	stream     string
	template   string // "workspace/name"
	ordering   string // value of the ordering field; empty if there is none
	idempotent bool
	verdict    Verdict
	failed     bool
	attempt    model.AttemptID
	sent       time.Time
	received   time.Time
	accepted   time.Time // when the job was accepted or the request answered; zero if neither
}
