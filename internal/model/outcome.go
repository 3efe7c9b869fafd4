package model

// Outcome is the final result of a request.
type Outcome string

// The outcomes. OutcomeNotRun is used only when it is certain that no part of
// the work started.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// AttemptEnd is the kind of the completion of one attempt, as far as the pool owner knows.
type AttemptEnd string

// The kinds of completion.
const (
	// AttemptEnded means that the endpoint returned the answer or reported the end of the attempt.
	AttemptEnded AttemptEnd = "ended"
	// AttemptNotStarted means that the attempt did not start and can no longer start.
	AttemptNotStarted AttemptEnd = "not-started"
	// AttemptUnknown means that the attempt is over and its result is not known.
	AttemptUnknown AttemptEnd = "unknown"
)

// Answer is the complete answer of an endpoint.
type Answer struct {
	Status      int    `json:"status"` // HTTP status of the endpoint; 200 for a task that succeeded
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Failed reports whether the endpoint answered with a server error.
func (a Answer) Failed() bool { return a.Status >= 500 }
