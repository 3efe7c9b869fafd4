package job

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Step is a group of identical tasks of a job. It is encoded with encoding/gob under the names of its fields.
type Step struct {
	Count         int             `json:"count"`
	Need          model.Resources `json:"need"`                   // requested for each task
	Estimate      int64           `json:"est,omitempty"`          // declared run time of a task, milliseconds
	Gang          bool            `json:"gang,omitempty"`         // all tasks start together or none starts
	SameRack      bool            `json:"same_rack,omitempty"`    // slower if spread over several racks
	RequiredLabel string          `json:"label,omitempty"`        // only runners with this label
	DataRack      string          `json:"data_rack,omitempty"`    // slower on other racks
	MaxPerRunner  int             `json:"per_runner,omitempty"`   // 0: no limit
	Checkpoints   bool            `json:"checkpoints,omitempty"`  // can resume from saved progress
	Speculative   bool            `json:"speculative,omitempty"`  // several copies of a task may run at the same time
	LongRunning   bool            `json:"long_running,omitempty"` // runs until the job is cancelled
	Fills         bool            `json:"fills,omitempty"`        // best effort: reserves no cores, uses what other runs leave
	MayMiss       int             `json:"may_miss,omitempty"`     // maximum number of tasks disrupted at the same time
	Image         string          `json:"image,omitempty"`        // tasks with the same image have similar behavior
	TargetMillis  int             `json:"target_ms,omitempty"`    // target tail latency of a serving task
	After         []int           `json:"after,omitempty"`        // indexes of earlier steps that this step depends on
}

// maxEstimate bounds declared run times, so that the sum over all steps of a job stays in the range of a Duration.
const maxEstimate = 90 * 24 * time.Hour

// EstimatedRunTime returns the declared run time of a task, at most maxEstimate.
func (s *Step) EstimatedRunTime() time.Duration {
	return time.Duration(min(s.Estimate, maxEstimate.Milliseconds())) * time.Millisecond
}

// Reserved returns the resources that are reserved on a runner for a task of the step.
func (s *Step) Reserved() model.Resources {
	need := s.Need
	if s.Fills {
		need.CoresMilli = 0
	}
	return need
}
