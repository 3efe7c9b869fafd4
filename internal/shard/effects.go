package shard

import "github.com/agateyard/agateyard/internal/model"

// WaiterID identifies a caller that waits for a reply. It is chosen by the event loop and
// unique within the process. Each waiter is answered exactly once, unless RemoveWaiter removes
// it first.
type WaiterID uint64

// Answered is the reply to one waiter. A reply with ReasonMoved has no outcome: the caller's
// process submits the request again to the new owner.
type Answered struct {
	Waiter WaiterID
	Reply  model.Reply
}

// CancelAttempt asks the pool owner to stop an attempt. The completion of the attempt is
// delivered to Settle.
type CancelAttempt struct {
	Attempt  model.AttemptID
	Pool     model.PoolID // empty when not known; every pool owner is then asked
	Endpoint string       // empty when not known
}

// Event is an entry of the event timeline.
type Event struct {
	Name    string
	Request string
	Attempt string
	Detail  string
}

// Effects is what the event loop must carry out after a call, each slice in order. Records are
// appended to the journal before anything else is done.
type Effects struct {
	Records []Record
	Answers []Answered
	Starts  []Start // to dispatch now
	Cancels []CancelAttempt
	Returns []model.Grant // unused; to be returned to their pool owners
	// Acks are attempts whose completions the pool owner may delete once all records returned
	// so far, these included, are durable. A completion that is not in Acks is kept in memory
	// only and is acknowledged by a later call.
	Acks   []model.AttemptID
	Events []Event
}

// Add appends the effects of o to e.
func (e *Effects) Add(o Effects) {
	e.Records = append(e.Records, o.Records...)
	e.Answers = append(e.Answers, o.Answers...)
	e.Starts = append(e.Starts, o.Starts...)
	e.Cancels = append(e.Cancels, o.Cancels...)
	e.Returns = append(e.Returns, o.Returns...)
	e.Acks = append(e.Acks, o.Acks...)
	e.Events = append(e.Events, o.Events...)
}

// Empty reports whether there is nothing to carry out.
func (e *Effects) Empty() bool {
	return len(e.Records)+len(e.Answers)+len(e.Starts)+len(e.Cancels)+len(e.Returns)+len(e.Acks)+len(e.Events) == 0
}
