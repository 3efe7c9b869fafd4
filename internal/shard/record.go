package shard

import (
	"encoding/json"
	"time"

	"github.com/samber/oops"

	"github.com/agateyard/agateyard/internal/model"
)

// RecordKind is the kind of a journal record.
type RecordKind string

// The kinds of records.
const (
	RecordAcceptance RecordKind = "acceptance" // an asynchronous request, with its body
	RecordIntent     RecordKind = "intent"     // attempts of a non-idempotent request that may be dispatched once it is durable
	RecordOutcome    RecordKind = "outcome"    // the outcome of a request
	RecordEnd        RecordKind = "end"        // the completion of a task or round that does not finish the request
	RecordCancel     RecordKind = "cancel"     // the cancellation of a request that is not finished at once
	RecordRelease    RecordKind = "release"    // the shard was handed over to another owner; its earlier records are invalid
)

// Callback names the method of Table to call when a record is durable or has failed.
type Callback int

// The callbacks.
const (
	CallbackNone       Callback = iota
	CallbackIntent              // IntentDurable or IntentFailed with Record.Attempt
	CallbackAcceptance          // AcceptanceDurable or AcceptanceFailed with Record.Key
	CallbackOutcome             // OutcomeDurable with Record.Key; the record is rewritten until it is durable
)

// Record is one entry of the journal. The journal preserves the order of the records of a
// shard.
type Record struct {
	Kind       RecordKind       `json:"kind"`
	Shard      model.ShardID    `json:"shard"`
	Key        model.RequestKey `json:"key,omitzero"`
	Time       time.Time        `json:"time"`
	BodyHash   uint64           `json:"body_hash,omitempty"`
	Async      bool             `json:"async,omitempty"`
	Acceptance *Acceptance      `json:"acceptance,omitempty"`
	Intent     *Intent          `json:"intent,omitempty"`
	Outcome    *Outcome         `json:"outcome,omitempty"`
	End        *TaskEnd         `json:"end,omitempty"`
}

// TaskEnd is the content of a RecordEnd: the completion of one task of a gang that is still
// running, or of a whole round of starts after which the unit may be started again.
type TaskEnd struct {
	Task      int           `json:"task"`
	Round     int           `json:"round"`               // of starts; a later round replaces the completions of earlier ones
	Concluded bool          `json:"concluded,omitempty"` // Settled is the combined completion of the round
	Retries   int           `json:"retries,omitempty"`   // with Concluded
	Settled   model.Settled `json:"settled"`
}

// maxTasks is the largest number of tasks of a request; templates allow no more. A malformed
// record or export with more would exhaust the memory of each owner that restores it.
const maxTasks = 10_000

// Acceptance is the content of a RecordAcceptance.
type Acceptance struct {
	Kind        model.Kind      `json:"kind"`
	Idempotent  bool            `json:"idempotent,omitempty"`
	Tasks       int             `json:"tasks"`
	Resources   model.Resources `json:"resources"`
	RunLimit    time.Duration   `json:"run_limit,omitempty"`
	MaxWait     time.Duration   `json:"max_wait,omitempty"`
	ContentType string          `json:"content_type,omitempty"`
	Body        []byte          `json:"body,omitempty"`
}

// Intent is the content of a RecordIntent.
type Intent struct {
	Attempts []IntentAttempt `json:"attempts"` // one for each task of the unit
}

// IntentAttempt is one attempt of an intent.
type IntentAttempt struct {
	Attempt  model.AttemptID `json:"attempt"`
	Task     int             `json:"task"`
	Pool     model.PoolID    `json:"pool"`
	Endpoint string          `json:"endpoint"`
	Instance string          `json:"instance,omitempty"` // of the endpoint when the grant was issued
}

// Outcome is the content of a RecordOutcome.
type Outcome struct {
	Outcome     model.Outcome   `json:"outcome"`
	Reason      model.Reason    `json:"reason,omitempty"`
	Detail      string          `json:"detail,omitempty"`
	Answer      *model.Answer   `json:"answer,omitempty"` // nil if there is none or it was not kept
	Submitted   time.Time       `json:"submitted"`
	Started     time.Time       `json:"started,omitzero"`
	Tasks       int             `json:"tasks"`
	Attempts    int             `json:"attempts"`
	Cancelled   bool            `json:"cancelled,omitempty"`
	LastAttempt model.AttemptID `json:"last_attempt,omitempty"`
}

// Callback returns the method to call when the record is durable or has failed.
func (r Record) Callback() Callback {
	switch r.Kind {
	case RecordIntent:
		return CallbackIntent
	case RecordAcceptance:
		return CallbackAcceptance
	case RecordOutcome:
		if r.Async && r.Outcome != nil && r.Outcome.Outcome == model.OutcomeNotRun {
			return CallbackOutcome
		}
		return CallbackNone
	default:
		return CallbackNone
	}
}

// Attempt returns the attempt that identifies an intent, or "" for other records.
func (r Record) Attempt() model.AttemptID {
	if r.Intent == nil || len(r.Intent.Attempts) == 0 {
		return ""
	}
	return r.Intent.Attempts[0].Attempt
}

// Encode returns the record in the encoding that DecodeRecord reads.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, oops.In("shard").Wrapf(err, "encode %s record of %s", r.Kind, r.Key)
	}
	return data, nil
}

// DecodeRecord decodes a record written by Encode. It fails for an unknown kind or a record
// without the content required by its kind.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, oops.In("shard").Wrapf(err, "decode record")
	}
	if !r.complete() {
		return Record{}, oops.In("shard").Errorf("record of kind %q has no content", r.Kind)
	}
	return r, nil
}

// complete reports whether the record has the content required by its kind.
func (r Record) complete() bool {
	switch r.Kind {
	case RecordAcceptance:
		return r.Acceptance != nil && r.Acceptance.Tasks <= maxTasks
	case RecordIntent:
		return r.Attempt() != ""
	case RecordOutcome:
		return r.Outcome != nil
	case RecordEnd:
		return r.End != nil
	case RecordCancel, RecordRelease:
		return r.Shard < model.ShardCount
	default:
		return false
	}
}
