package control

import (
	"testing"

	"github.com/agateyard/agateyard/internal/scheduler"
)

// TestBarePollIsRepeated guards against runs that lapse because each poll finds a new connection, on which it goes without its lease:
// the poll is repeated at once, and the repeated one identifies a new connection before it is sent.
func TestBarePollIsRepeated(t *testing.T) {
	n := newTestNode(newMemoryStore(), "127.0.0.1:1", testWeight)
	o := newTestOwnership(n.Node)
	defer o.cancel()
	ref := scheduler.RunnerRef{ID: "r", Addr: "r:1", Incarnation: 1}
	o.sched.RunnerListed(scheduler.RunnerInfo{ID: ref.ID, Addr: ref.Addr, Service: "s"})
	o.usedRunners.recorded[ref.ID] = ref.Addr
	st := &pollState{ref: ref, nextAt: o.loopTime}
	o.poller.states[ref.ID] = st
	report := scheduler.Report{Runner: ref.ID, Addr: ref.Addr, Incarnation: 1, Clock: 1, Bare: true}
	o.poller.pollFinished(st, ref, PollRequest{}, 0, RelayReply{Report: report}, nil)
	if !st.inFlight || !st.bare {
		t.Errorf("poll in flight %t, to identify its connection %t", st.inFlight, st.bare)
	}
	report.Clock, report.Bare = 2, false
	o.poller.pollFinished(st, ref, PollRequest{Identify: true}, 0, RelayReply{Report: report}, nil)
	if st.bare {
		t.Error("each later poll identifies its connection as well")
	}
}
