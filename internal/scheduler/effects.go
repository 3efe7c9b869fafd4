package scheduler

import (
	"time"

	"github.com/agateyard/agateyard/internal/blame"
	"github.com/agateyard/agateyard/internal/job"
)

// Effect is an action that the scheduler requests, or an event that it reports for logs and metrics. The caller applies
// effects in order.
type Effect interface{ effect() }

// StartRun tells a runner to start one run of a task.
type StartRun struct {
	Runner     RunnerRef
	Task       job.TaskID
	Run        int
	Payload    string
	Ticket     string
	Checkpoint string
	Reason     string
}

// StopRun tells a runner to stop a run, or to refuse it if its start arrives later.
type StopRun struct {
	Runner RunnerRef
	Task   job.TaskID
	Run    int
	Reason string
}

// PollRunner requests an immediate report from a runner.
type PollRunner struct {
	Runner RunnerRef
}

// RequestAdvice queries the advice service for which of the runners may run a step.
type RequestAdvice struct {
	Step     job.StepID
	Runners  []RunnerRef
	Machine  string        // machine that makes the call
	Expected time.Duration // expected duration of the call
	Renewal  bool          // requested to renew tickets for reserved runs
}

// JobFinished reports that a job has reached a final state.
type JobFinished struct {
	Job    string
	Queue  string
	State  job.State
	Reason string
	Late   time.Duration // how long after its objective the job has ended; 0 if it is in time or has several occurrences
}

// RunEnded reports the end of a run and its outcome.
type RunEnded struct {
	Task    job.TaskID
	Run     int
	Runner  string
	Outcome string
	After   time.Duration // time since the start request was sent or the run was adopted
}

// RunnerChanged reports a change of a runner's state as seen by the scheduler.
type RunnerChanged struct {
	Runner string
	Change string
	Detail string
}

// RunnerLost reports that a runner has probably been lost with its runs.
type RunnerLost struct {
	Runner     string
	Addr       string
	Rack       string
	Evidence   string        // "closed": it closed or refused a connection
	Runs       int           // runs that may have existed there
	AliveUntil time.Duration // how long ago it was certainly still running
	Started    []StartedRun  // those that were just started there, latest first
}

// StartedRun is a run and the time since its start request was sent.
type StartedRun struct {
	Task job.TaskID
	Run  int
	Age  time.Duration
}

// CrashCounted reports that a runner was lost and which tasks may have caused it.
type CrashCounted struct {
	Task        job.TaskID // one of the suspects
	Run         int
	Runner      string
	Suspects    []string // all of them; a gang is named by its first task
	CommonCause bool     // many runners were lost at the same time, so that the loss counts against none of them
	Crashes     int      // losses that the task may have caused
	Verdict     blame.Verdict
}

// SuspectCleared reports that a task has caused none of the losses of runners for which it was a suspect.
type SuspectCleared struct {
	Task job.TaskID
}

// OwnFault reports that the runs of a task, or of a whole step, fail on sound runners, so that their failures count against none.
type OwnFault struct {
	Step     job.StepID
	Index    int // of the task, or WholeStep
	Released int // runners whose quarantine has ended because of it
}

// WholeStep is the index of OwnFault for all tasks of a step.
const WholeStep = -1

func (StartRun) effect()       {}
func (StopRun) effect()        {}
func (PollRunner) effect()     {}
func (RequestAdvice) effect()  {}
func (JobFinished) effect()    {}
func (RunEnded) effect()       {}
func (RunnerChanged) effect()  {}
func (RunnerLost) effect()     {}
func (CrashCounted) effect()   {}
func (SuspectCleared) effect() {}
func (OwnFault) effect()       {}
