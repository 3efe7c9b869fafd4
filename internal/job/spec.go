// Package job defines jobs: their steps, their durable records and the identifiers of their tasks.
package job

import (
	"math"
	"time"

	"github.com/samber/oops"
)

// Limits of a submitted job. They bound the memory that one job may use.
const (
	MaxSteps       = 256
	MaxTasks       = 20_000
	MaxPayload     = 4_000 // bytes
	MaxOccurrences = 100_000
)

// Spec is a job as submitted by a caller. It is encoded with encoding/gob under the names of its fields.
type Spec struct {
	ID      string `json:"id"`
	Queue   string `json:"queue"`
	Tenant  string `json:"tenant,omitempty"` // whose key submitted the job; empty on a public route
	Payload string `json:"payload,omitempty"`
	// ConfigVersion is the version of the configuration under which the job was accepted.
	ConfigVersion int64  `json:"config,omitempty"`
	Steps         []Step `json:"steps"`
	Occurrences   int    `json:"times,omitempty"`    // 0: the steps run once, immediately
	FirstStart    int64  `json:"first,omitempty"`    // due time of occurrence 0, Unix milliseconds
	Interval      int64  `json:"interval,omitempty"` // milliseconds between occurrences
}

// OccurrenceCount returns how many times the steps run; a job without a schedule has one occurrence.
func (s *Spec) OccurrenceCount() int {
	return max(s.Occurrences, 1)
}

// DueAt returns when an occurrence may start; the zero time means immediately.
func (s *Spec) DueAt(occurrence int) time.Time {
	if s.Occurrences == 0 {
		return time.Time{}
	}
	if s.overflows(occurrence) {
		return time.UnixMilli(math.MaxInt64)
	}
	return time.UnixMilli(s.FirstStart + int64(occurrence)*s.Interval)
}

// overflows reports whether the due time of an occurrence is out of range.
func (s *Spec) overflows(occurrence int) bool {
	return s.Interval > 0 && int64(occurrence) > (math.MaxInt64-s.FirstStart)/s.Interval
}

// Validate returns all violations found in a submitted job, joined into one error.
func (s *Spec) Validate() error {
	findings := s.violations()
	if len(findings) == 0 && s.overflows(s.Occurrences) {
		findings = append(findings, oops.Errorf("schedule: the last occurrence is out of range"))
	}
	return oops.Join(findings...)
}

// violations returns what is wrong with a job. An accepted job that is stored must never be among them, so a limit that is
// made narrower belongs into Validate.
func (s *Spec) violations() (findings []error) {
	add := func(format string, args ...any) { findings = append(findings, oops.Errorf(format, args...)) }
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		add("steps: %d, allowed are 1 to %d", len(s.Steps), MaxSteps)
	}
	if len(s.Payload) > MaxPayload {
		add("payload: %d bytes, allowed are %d", len(s.Payload), MaxPayload)
	}
	if s.Occurrences < 0 || s.Occurrences > MaxOccurrences || s.Interval < 0 || s.FirstStart < 0 {
		add("schedule: negative or too many occurrences")
	}
	tasks := 0
	for i := range s.Steps {
		findings = append(findings, s.Steps[i].validate(i)...)
		tasks += max(s.Steps[i].Count, 0)
	}
	if tasks > MaxTasks {
		add("tasks: %d, allowed are %d", tasks, MaxTasks)
	}
	return findings
}

func (s *Step) validate(index int) []error {
	var findings []error
	add := func(format string, args ...any) {
		findings = append(findings, oops.Errorf("step %d: "+format, append([]any{index}, args...)...))
	}
	if s.Count < 1 || s.Count > MaxTasks {
		add("count: %d, allowed are 1 to %d", s.Count, MaxTasks)
	}
	if s.Need.CoresMilli < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
		add("resources: negative")
	}
	if s.Estimate < 0 || s.MaxPerRunner < 0 || s.MayMiss < 0 || s.TargetMillis < 0 {
		add("negative number")
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			add("after: step %d is not an earlier step", earlier)
		}
	}
	return findings
}
