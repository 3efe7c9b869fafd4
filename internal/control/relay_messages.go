package control

import (
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// StopRequest asks a runner to stop a run, or to refuse it if its start arrives later.
type StopRequest struct {
	Task  job.TaskID
	Run   int
	Fence int64
}

// RelayArgs asks a process to call a runner for the owner. Exactly one of Start, Stop and Poll is set.
type RelayArgs struct {
	Runner scheduler.RunnerRef
	Fence  int64
	Within time.Duration // timeout of the call to the runner
	Start  *StartRequest
	Stop   *StopRequest
	Poll   *PollRequest
}

// RelayReply is the runner's answer.
type RelayReply struct {
	Fenced  bool                   // the runner, or the relaying process, knows a newer owner
	Local   bool                   // the relaying process could not make the call
	Error   string                 // "" if the call succeeded
	Outcome scheduler.StartOutcome // of Start
	Report  scheduler.Report       // of Poll
}
