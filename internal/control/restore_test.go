package control

import (
	"testing"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// TestRecordThatPanicsIsSkipped guards against a cell without an owner, because each process in turn panics in the restore of the
// same record.
func TestRecordThatPanicsIsSkipped(t *testing.T) {
	store := newMemoryStore()
	n := newTestNode(store, "127.0.0.1:1", testWeight)
	for i := range 3 {
		spec := testSpec(i)
		putValue(t, store, jobPrefix+spec.ID, string((&job.Record{Spec: spec}).Encode()))
	}
	putValue(t, store, runnersKey, `{"r1":"127.0.0.1:2"}`)
	bad := testSpec(1).ID
	o := newTestOwnership(n.Node)
	o.restore = func(s *scheduler.Scheduler, r *job.Record) {
		s.Restore(r)
		if r.ID == bad {
			panic("in the middle of a record")
		}
	}
	if err := o.load(); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		id := testSpec(i).ID
		_, _, known := o.sched.Durable(id)
		if known == (id == bad) {
			t.Errorf("job %s: known %v", id, known)
		}
	}
	if !o.unreadable[bad] {
		t.Error("the record that panics counts as no record: its job could be submitted and run again")
	}
	if len(o.sched.RunnersToPoll()) != 1 {
		t.Error("the runner that earlier owners used isn't inherited")
	}
}

// TestParallelReadsFitTheLink guards against an owner that fills its link with the answers of its own reads, behind which
// pings wait until it is replaced (incident LOST), and against a large VM that reads one part after the other.
func TestParallelReadsFitTheLink(t *testing.T) {
	for linkMbps, want := range map[float64]int{0: 16, 1: 1, 10: 2, 20: 4, 200: 16, 1000: 16} {
		if got := parallelReads(linkMbps); got != want {
			t.Errorf("%v Mbit/s: %d reads at the same time, want %d", linkMbps, got, want)
		}
	}
}
