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
	Fence  int64         // of the owner's claim; that of the call itself may be higher
	Within time.Duration // timeout of the call to the runner
	Start  *StartRequest
	Stop   *StopRequest
	Poll   *PollRequest

	preparedAt time.Duration // on the clock of this process; not sent
}

// wait returns how long the runner may wait before it answers.
func (a *RelayArgs) wait() time.Duration {
	if a.Poll == nil {
		return 0
	}
	return a.Poll.Wait
}

// RelayReply is the runner's answer.
type RelayReply struct {
	Fenced   bool                   // the runner, or the relaying process, knows a newer owner
	Local    bool                   // the relaying process could not make the call
	Error    string                 // "" if the call succeeded
	TimedOut bool                   // the runner didn't answer in time; false from processes of earlier builds
	Closed   bool                   // the runner closed or refused the connection; false from processes of earlier builds
	Replaced bool                   // another runner answers at the address; false from processes of earlier builds
	Outcome  scheduler.StartOutcome // of Start
	// OtherIncarnation: the call was not sent, as another incarnation of the runner answers; false from processes of earlier builds
	OtherIncarnation bool
	Report           scheduler.Report // of Poll

	endedAt time.Duration // when the call ended, on the clock of this process; not sent
}

// stale reports whether a poll acknowledges run ends and was prepared so long ago, before a pause of this process, that the
// runner may have started again under its identifier: the ends of each incarnation have the same numbers.
func (a *RelayArgs) stale(now time.Duration) bool {
	return a.Poll != nil && a.Poll.Acknowledged > 0 && now-a.preparedAt > minPause
}
