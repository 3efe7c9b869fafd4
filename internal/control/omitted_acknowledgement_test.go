package control

import (
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// TestOmittedAcknowledgementsArePolledSlowly guards against a runner that is polled without a pause because no connection to
// it lasts: each poll is sent without its acknowledgement, and the runner answers at once for as long as it lists ends. One
// new connection causes no pause.
func TestOmittedAcknowledgementsArePolledSlowly(t *testing.T) {
	n := newTestNode(newMemoryStore(), "127.0.0.1:1", testWeight)
	o := newTestOwnership(n.Node)
	defer o.cancel()
	ref := scheduler.RunnerRef{ID: "r", Addr: "r:1", Incarnation: 1}
	o.sched.RunnerListed(scheduler.RunnerInfo{ID: ref.ID, Addr: ref.Addr, Service: "s"})
	o.usedRunners.recorded[ref.ID] = ref.Addr
	st := &pollState{ref: ref}
	for i, step := range []struct {
		acknowledged int64
		listed       bool
		want         time.Duration
	}{
		{0, true, 0}, // the first answer
		{1, true, 0},
		{1, true, unacknowledgedPollPause},
		{1, true, unacknowledgedPollPause},
		{1, false, 0},
		{1, true, 0},
	} {
		st.acknowledged = step.acknowledged
		report := scheduler.Report{Runner: ref.ID, Addr: ref.Addr, Incarnation: 1, Clock: int64(i + 1)}
		if step.listed {
			task := job.TaskID{StepID: job.StepID{Job: spreadID(1)}} // of no job that the owner knows, so that no record is written
			report.Ended = []scheduler.EndedRun{{Seq: 1, Task: task, Run: 1, Outcome: scheduler.EndDone}}
		}
		o.poller.pollFinished(st, ref, PollRequest{}, 0, RelayReply{Report: report}, nil)
		if got := st.nextAt - o.loopTime; got != step.want {
			t.Errorf("answer %d: pause %s, want %s", i, got, step.want)
		}
	}
}
