package scheduler

import (
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// Effect is an action that the scheduler wants done. The caller applies effects in order.
type Effect interface{ effect() }

// StartRun orders a runner to start one run of a task.
type StartRun struct {
	Runner     RunnerRef
	Task       job.TaskID
	Run        int
	Payload    string
	Ticket     string
	Checkpoint string
	Reason     string
}

// StopRun orders a runner to stop a run, or to refuse it if it arrives later.
type StopRun struct {
	Runner RunnerRef
	Task   job.TaskID
	Run    int
	Reason string
}

// PollRunner asks for a fresh report of a runner at once.
type PollRunner struct {
	Runner RunnerRef
}

// RequestAdvice asks which of the runners may run a step.
type RequestAdvice struct {
	Step     job.StepID
	Runners  []RunnerRef
	Machine  string        // from which the call is made
	Expected time.Duration // how long the service is expected to take
	Renewal  bool          // room is held until the answer comes
}

// JobFinished tells that a job has reached a final state.
type JobFinished struct {
	Job    string
	Queue  string
	State  job.State
	Reason string
}

// RunEnded tells why a run is over.
type RunEnded struct {
	Task    job.TaskID
	Run     int
	Runner  string
	Outcome string
	After   time.Duration // since its start was ordered
}

// RunnerChanged tells that what is believed of a runner has changed.
type RunnerChanged struct {
	Runner string
	Change string
	Detail string
}

func (StartRun) effect()      {}
func (StopRun) effect()       {}
func (PollRunner) effect()    {}
func (RequestAdvice) effect() {}
func (JobFinished) effect()   {}
func (RunEnded) effect()      {}
func (RunnerChanged) effect() {}
