package job

import (
	"encoding/json"

	"github.com/samber/oops"
)

// Record is the durable state of a job. A final record keeps the identifier, queue and state only.
type Record struct {
	Spec
	Accepted int64      `json:"accepted"` // Unix milliseconds
	Final    State      `json:"final,omitempty"`
	Finished int64      `json:"finished,omitempty"` // Unix milliseconds
	Progress []Progress `json:"progress,omitempty"`
}

// Progress is what is known for good about the tasks of one occurrence of a step.
type Progress struct {
	Occurrence      int            `json:"k"`
	Step            int            `json:"s"`
	AllDone         bool           `json:"all,omitempty"`
	Done            []int          `json:"done,omitempty"`   // indices of tasks
	Failed          map[int][]int  `json:"failed,omitempty"` // numbers of the runs that failed, by index of the task
	Checkpoints     map[int]string `json:"saved,omitempty"`  // checkpoint by index of the task
	EligibleRunners []string       `json:"good,omitempty"`   // runners that advice has named, if that is dear to ask again
}

// Encode returns the stored form of the record.
func (r *Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(oops.Wrapf(err, "encode job %s", r.ID)) // the type holds nothing that can't be encoded
	}
	return data
}

// DecodeRecord reads a stored record.
func DecodeRecord(data []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, oops.Wrapf(err, "decode job record")
	}
	return &r, nil
}
