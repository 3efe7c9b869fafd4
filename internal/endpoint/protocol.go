// Package endpoint is the client of runners and workers.
package endpoint

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Headers of the endpoint protocol.
const (
	HeaderToken       = "Agateyard-Token"
	HeaderStartBefore = "Agateyard-Start-Before" // ms of the endpoint's clock
	HeaderTemplate    = "Agateyard-Template"
	HeaderResources   = "Agateyard-Resources" // JSON of model.Resources
	HeaderRunLimit    = "Agateyard-Run-Limit" // ms
	HeaderInstance    = "Agateyard-Instance"  // instance whose clock the start limit is in
	HeaderExchange    = "Agateyard-Exchange"  // unique per command; the reply repeats it
	HeaderRefusal     = "Agateyard-Refusal"   // code of a definite refusal, only on replies
	HeaderRunMS       = "Agateyard-Run-Ms"    // duration of the run, only on answers of a runner
)

// SessionInterval is the time between two session calls of the pool owner to one endpoint.
const SessionInterval = 2 * time.Second

// LeaseTTL is how long an endpoint goes on with its work without a session call.
const LeaseTTL = 10 * time.Second

// SessionRequest takes over an endpoint with a higher token, or renews with the same.
type SessionRequest struct {
	Token uint64 `json:"token"`
	Owner string `json:"owner"` // incarnation of the pool owner
	Ack   uint64 `json:"ack"`   // highest sequence number of an ended attempt that the owner has handled

	// Instance is the instance that Ack refers to. Sequence numbers start anew
	// with each instance, so another instance ignores the Ack.
	Instance string `json:"instance,omitempty"`
}

// SessionReply is the endpoint's report.
type SessionReply struct {
	Instance string           `json:"instance"` // new at every start of the endpoint
	ClockMS  int64            `json:"clock_ms"` // ms since the start of the instance
	Kind     string           `json:"kind"`     // "runner" or "worker"
	Capacity model.Resources  `json:"capacity"`
	Leaving  bool             `json:"leaving"`
	Running  []RunningAttempt `json:"running,omitempty"`
	Ended    []EndedAttempt   `json:"ended,omitempty"` // with a sequence number above the acknowledged one
}

// RunningAttempt is work that the endpoint runs.
type RunningAttempt struct {
	Attempt   model.AttemptID `json:"attempt"`
	Template  string          `json:"template"` // "workspace/name"
	Resources model.Resources `json:"resources"`
	RunMS     int64           `json:"run_ms"`
	Usage     model.Resources `json:"usage"` // measured, with a lag
	Throttled bool            `json:"throttled,omitempty"`
}

// EndedAttempt is work that has ended at the endpoint.
type EndedAttempt struct {
	Seq       uint64          `json:"seq"`
	Attempt   model.AttemptID `json:"attempt"`
	Template  string          `json:"template"`
	RunMS     int64           `json:"run_ms"`
	MaxUsage  model.Resources `json:"max_usage"`
	Stopped   bool            `json:"stopped,omitempty"` // by cancel, lapse of the lease or run limit
	Answer    model.Answer    `json:"answer"`
	HasAnswer bool            `json:"has_answer"` // false where the answer was too large to keep
}

// StartRequest starts an attempt.
type StartRequest struct {
	Attempt       model.AttemptID
	Token         uint64
	StartBeforeMS int64  // endpoint's clock
	Instance      string // instance whose clock StartBeforeMS is in; another instance refuses with ErrExpired; empty is not checked
	Template      string
	Resources     model.Resources
	RunLimit      time.Duration
	ContentType   string
	Body          []byte
}

// StartReply is the reply to a start: the whole answer of a runner, or
// Accepted for a worker.
type StartReply struct {
	Accepted bool
	Answer   model.Answer
	RunMS    int64
}

// CancelReply is the reply to a cancel.
type CancelReply struct {
	Started bool `json:"started"` // the attempt had started before the cancel
}

// RefusalBody is the body of a refused command.
type RefusalBody struct {
	Code   RefusalCode `json:"code"`
	Detail string      `json:"detail,omitempty"`
}
