// Package endpoint defines the HTTP protocol of runners and workers and
// implements its client.
package endpoint

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Headers of the endpoint protocol.
const (
	HeaderToken       = "Agateyard-Token"
	HeaderStartBefore = "Agateyard-Start-Before" // start deadline, in ms of the endpoint's clock
	HeaderTemplate    = "Agateyard-Template"
	HeaderResources   = "Agateyard-Resources" // JSON of model.Resources
	HeaderRunLimit    = "Agateyard-Run-Limit" // ms
	HeaderInstance    = "Agateyard-Instance"  // instance whose clock the start deadline refers to
	HeaderExchange    = "Agateyard-Exchange"  // unique per HTTP request; the reply returns the same value
	HeaderRefusal     = "Agateyard-Refusal"   // code of a definite refusal; only in replies
	HeaderRunMS       = "Agateyard-Run-Ms"    // duration of the run; only in answers of a runner
)

// SessionInterval is the time from the reply to a session call of the pool owner to the
// next call, to which the owner adds a random time of up to an eighth. Workers that run
// tasks may be called more often, and a failed call is retried earlier.
const SessionInterval = 2 * time.Second

// LeaseTTL is how long an endpoint continues its work without a session call.
const LeaseTTL = 10 * time.Second

// SessionRequest takes over an endpoint with a higher fencing token, or renews
// the lease with the current one.
type SessionRequest struct {
	Token uint64 `json:"token"`
	Owner string `json:"owner"` // incarnation of the pool owner
	Ack   uint64 `json:"ack"`   // acknowledges ended attempts up to this sequence number

	// Instance is the instance that Ack refers to. Sequence numbers restart with
	// each instance, so any other instance ignores Ack. It is not checked if empty.
	Instance string `json:"instance,omitempty"`
}

// SessionReply is the report of an endpoint.
type SessionReply struct {
	Instance string           `json:"instance"` // new identifier at each start of the endpoint
	ClockMS  int64            `json:"clock_ms"` // ms since the start of the instance
	Kind     string           `json:"kind"`     // "runner" or "worker"
	Capacity model.Resources  `json:"capacity"`
	Leaving  bool             `json:"leaving"`
	Running  []RunningAttempt `json:"running,omitempty"`
	Ended    []EndedAttempt   `json:"ended,omitempty"` // those not acknowledged yet
}

// RunningAttempt describes an attempt that runs on the endpoint.
type RunningAttempt struct {
	Attempt   model.AttemptID `json:"attempt"`
	Template  string          `json:"template"` // "workspace/name"
	Resources model.Resources `json:"resources"`
	RunMS     int64           `json:"run_ms"`
	Usage     model.Resources `json:"usage"` // measured; the value is delayed
	Throttled bool            `json:"throttled,omitempty"`
}

// EndedAttempt describes an attempt that has ended on the endpoint.
type EndedAttempt struct {
	Seq       uint64          `json:"seq"`
	Attempt   model.AttemptID `json:"attempt"`
	Template  string          `json:"template"`
	RunMS     int64           `json:"run_ms"`
	MaxUsage  model.Resources `json:"max_usage"`
	Stopped   bool            `json:"stopped,omitempty"` // ended by cancel, checkpoint, expiry of the lease or run limit
	Answer    model.Answer    `json:"answer"`
	HasAnswer bool            `json:"has_answer"` // false if the attempt was stopped or the answer is too large for a report
}

// StartRequest starts an attempt.
type StartRequest struct {
	Attempt       model.AttemptID
	Token         uint64
	StartBeforeMS int64  // start deadline, in ms of the endpoint's clock
	Instance      string // instance whose clock StartBeforeMS refers to; any other instance refuses with ErrExpired; not checked if empty
	Template      string
	Resources     model.Resources
	RunLimit      time.Duration
	ContentType   string
	Body          []byte
}

// StartReply is the reply to a start: the complete answer from a runner, or
// Accepted from a worker.
type StartReply struct {
	Accepted bool
	Answer   model.Answer
	RunMS    int64
}

// CancelReply is the reply to a cancel.
type CancelReply struct {
	Started bool `json:"started"` // whether the attempt had started before the cancel
}

// RefusalBody is the body of a refused command.
type RefusalBody struct {
	Code   RefusalCode `json:"code"`
	Detail string      `json:"detail,omitempty"`
}
