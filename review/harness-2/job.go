//go:build review

package main

import (
	"fmt"
	"time"
)

// Step is a step of a job that a client submits.
type Step struct {
	Count        int
	CPU          int // millicores
	Mem          int // MB
	Length       time.Duration
	Spread       time.Duration // by which the last task takes longer than the first one
	Label        string        // required
	After        []int
	Gang         bool
	Checkpoint   bool
	Speculative  bool
	Daemon       bool
	Fills        bool
	MaxPerServer int
	NoEstimate   bool
	DataRack     string
	SameRack     bool
	FailOneIn    int // one in so many runs ends failed; 0: none
}

// wire returns the step as it is sent.
func (s *Step) wire() map[string]any {
	out := map[string]any{"count": s.Count}
	set := func(name string, value any, present bool) {
		if present {
			out[name] = value
		}
	}
	set("cpu", s.CPU, s.CPU > 0)
	set("mem-mb", s.Mem, s.Mem > 0)
	set("est-ms", s.Length.Milliseconds(), !s.NoEstimate)
	set("required-label", s.Label, s.Label != "")
	set("after", s.After, len(s.After) > 0)
	set("gang", true, s.Gang)
	set("checkpoint", true, s.Checkpoint)
	set("speculative", true, s.Speculative)
	set("daemon", true, s.Daemon)
	set("fills", true, s.Fills)
	set("max-per-server", s.MaxPerServer, s.MaxPerServer > 0)
	set("data-rack", s.DataRack, s.DataRack != "")
	set("same-rack", true, s.SameRack)
	return out
}

// Job is a job that a client submits.
type Job struct {
	ID       string
	Path     string // prefix of its queue
	Steps    []Step
	Times    int // 0: once
	Start    time.Time
	Interval time.Duration

	Accepted  time.Duration // when the first 2xx arrived; 0: none has
	Cancelled time.Duration // when the cancellation was acknowledged; 0: it wasn't
	Cancel    bool          // a cancellation was sent
	Shown     string        // last state that was shown
}

func (j *Job) spec() string { return "job " + j.ID }

func (j *Job) occurrences() int { return max(j.Times, 1) }

// wire returns the job as it is sent.
func (j *Job) wire() map[string]any {
	steps := make([]map[string]any, 0, len(j.Steps))
	for i := range j.Steps {
		steps = append(steps, j.Steps[i].wire())
	}
	out := map[string]any{"spec": j.spec(), "steps": steps}
	if j.Times > 0 {
		out["times"], out["start-ms"], out["interval-ms"] = j.Times, j.Start.UnixMilli(), j.Interval.Milliseconds()
	}
	return out
}

// taskID names a task.
type taskID struct {
	job              string
	occurrence, step int
	index            int
}

func (t taskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.job, t.occurrence, t.step, t.index)
}

const idLength = 16

func parseTask(name string) (t taskID, ok bool) {
	if len(name) < idLength {
		return taskID{}, false
	}
	t.job = name[:idLength]
	n, err := fmt.Sscanf(name[idLength:], ".%d.%d.%d", &t.occurrence, &t.step, &t.index)
	return t, n == 3 && err == nil
}
