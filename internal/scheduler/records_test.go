package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// TestMostUrgentRecordsFirst guards against acceptances that are written in an arbitrary order after an outage of the store,
// so that callers of urgent jobs give up while less urgent jobs are stored.
func TestMostUrgentRecordsFirst(t *testing.T) {
	s := New(testConfig(), 1, time.Second, time.Now())
	s.SetQueues([]Queue{{Name: "urgent", Priority: 0}, {Name: "fill", Priority: 2}})
	for i := range 40 {
		queue := "fill"
		if i%2 == 1 {
			queue = "urgent"
		}
		s.Advance(time.Second+time.Duration(i)*time.Millisecond, time.Now())
		s.Submit(job.Spec{ID: fmt.Sprintf("%016x", 1000-i), Queue: queue, Steps: []job.Step{{Count: 1, Estimate: 100}}})
	}
	s.jobs[fmt.Sprintf("%016x", 1000-1)].stored = true // its caller has its answer
	var got []DirtyRecord
	for range 4 {
		got = append(got, s.TakeDirty(10, func(string) bool { return false })...)
	}
	if len(got) != 40 || s.DirtyCount() != 0 {
		t.Fatalf("%d records, %d left", len(got), s.DirtyCount())
	}
	for i, d := range got[:19] {
		if want := fmt.Sprintf("%016x", 1000-(2*i+3)); d.ID != want {
			t.Errorf("record %d: %s, want %s", i, d.ID, want)
		}
	}
	if got[39].ID != fmt.Sprintf("%016x", 1000-1) {
		t.Errorf("last: %s", got[39].ID)
	}
}
