package job

import (
	"encoding/json"

	"github.com/samber/oops"

	"github.com/agateyard/agateyard/internal/model"
)

// Record is the durable state of a job. The record of a finished job keeps only the identifier, queue,
// tenant, times and state, and the size of what may still run.
type Record struct {
	Spec
	Accepted int64      `json:"accepted"` // Unix milliseconds
	Final    State      `json:"final,omitempty"`
	Finished int64      `json:"finished,omitempty"` // Unix milliseconds
	Progress []Progress `json:"progress,omitempty"`
	// Settings are those of the job's queue; nil in records of finished jobs, of earlier builds and of unknown queues.
	Settings *QueueSettings `json:"queue-settings,omitempty"`
	// Excess says that the job was submitted beyond the rate that its tenant is owed.
	Excess bool `json:"excess,omitempty"`
	// Largest is the largest task of a finished job of a tenant, and Runs how many of its runs may have existed when the
	// record was written. A new owner charges the tenant for them.
	Largest model.Resources `json:"largest,omitzero"`
	Runs    int             `json:"runs,omitempty"`
}

// Progress is the durable progress of the tasks of one occurrence of a step.
type Progress struct {
	Occurrence  int            `json:"k"`
	Step        int            `json:"s"`
	AllDone     bool           `json:"all,omitempty"`
	Done        []int          `json:"done,omitempty"`   // indexes of completed tasks
	Failed      map[int][]int  `json:"failed,omitempty"` // numbers of the failed runs, by task index
	Checkpoints map[int]string `json:"saved,omitempty"`  // last checkpoint, by task index
	// Crashes are the losses of runners that may have been caused by a task, by task index. A gang counts under its first task.
	Crashes map[int][]Crash `json:"crashed,omitempty"`
	// FailedLately are the failed runs that may still decide where a task runs next, by task index.
	FailedLately    map[int][]FailedRun `json:"failed-lately,omitempty"`
	EligibleRunners []string            `json:"good,omitempty"` // eligible runners, if repeating the advice calls would be expensive
}

// Encode returns the stored form of the record.
func (r *Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(oops.Wrapf(err, "encode job %s", r.ID)) // unreachable: every field of the type can be encoded
	}
	return data
}

// DecodeRecord decodes a stored record.
func DecodeRecord(data []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, oops.Wrapf(err, "decode job record")
	}
	if err := r.check(); err != nil {
		return nil, oops.Wrapf(err, "decode job record")
	}
	return &r, nil
}
