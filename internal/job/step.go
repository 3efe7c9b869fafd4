package job

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Step is a set of equal tasks of a job.
type Step struct {
	Count         int             `json:"count"`
	Need          model.Resources `json:"need"` // of each task
	Estimate      int64           `json:"est,omitempty"`
	Gang          bool            `json:"gang,omitempty"`         // all tasks start together or none does
	SameRack      bool            `json:"same_rack,omitempty"`    // slower when spread over racks
	RequiredLabel string          `json:"label,omitempty"`        // only runners with this label
	DataRack      string          `json:"data_rack,omitempty"`    // slower on other racks
	MaxPerRunner  int             `json:"per_runner,omitempty"`   // 0: no limit
	Checkpoints   bool            `json:"checkpoints,omitempty"`  // can resume from saved progress
	Speculative   bool            `json:"speculative,omitempty"`  // several copies of a task may run
	LongRunning   bool            `json:"long_running,omitempty"` // runs until the job is cancelled
	Fills         bool            `json:"fills,omitempty"`        // uses only room that others leave
	MayMiss       int             `json:"may_miss,omitempty"`     // disruptions allowed at the same time
	Image         string          `json:"image,omitempty"`        // tasks of the same image behave alike
	TargetMillis  int             `json:"target_ms,omitempty"`    // tail latency that a serving task must keep
	After         []int           `json:"after,omitempty"`        // earlier steps that must be done first
}

// EstimatedRunTime returns the declared run time of a task.
func (s *Step) EstimatedRunTime() time.Duration {
	return time.Duration(s.Estimate) * time.Millisecond
}

// Reserved returns the room that a task of the step takes on a runner.
func (s *Step) Reserved() model.Resources {
	need := s.Need
	if s.Fills {
		need.CoresMilli = 0
	}
	return need
}
