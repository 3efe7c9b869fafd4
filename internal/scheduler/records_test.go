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

// TestJobsOfRemovedQueueAfterTakeover guards against accepted jobs that never start because the configuration has dropped
// their queue and a successor doesn't know which runners run them.
func TestJobsOfRemovedQueueAfterTakeover(t *testing.T) {
	for _, when := range []string{"before the takeover", "while there was no owner"} {
		sim := newSimulation(1, 4)
		for i := range 5 {
			sim.submit(fmt.Sprintf("f%015x", i))
		}
		sim.run(50 * time.Millisecond) // accepted
		if when == "before the takeover" {
			sim.queues = nil
			sim.sched.SetQueues(nil)
			sim.run(50 * time.Millisecond)
		}
		sim.queues = nil
		for id, r := range sim.records {
			stored, err := job.DecodeRecord(r.Encode())
			if err != nil {
				t.Fatal(err)
			}
			sim.records[id] = stored
		}
		sim.takeover()
		sim.run(30 * time.Second)
		for id := range sim.specs {
			if state, ok := sim.sched.State(id); !ok || state != job.Done {
				t.Errorf("queue removed %s: job %s is %q", when, id, state)
			}
		}
	}
}

// TestJobBeforeItsQueueIsKnown guards against a job that reaches an owner before the configuration with its queue and then
// counts as urgent, or as late from its arrival on.
func TestJobBeforeItsQueueIsKnown(t *testing.T) {
	sim := newSimulation(1, 4)
	queues := sim.queues
	sim.sched.SetQueues(nil)
	sim.submit("f000000000000001")
	sim.run(500 * time.Millisecond)
	sim.sched.SetQueues(queues)
	for _, j := range sim.sched.jobs {
		if j.queue.Service != "orders" || j.objective < queues[0].Objective {
			t.Errorf("service %q, objective %s", j.queue.Service, j.objective)
		}
	}
	sim.run(20 * time.Second)
	for id := range sim.specs {
		if state, _ := sim.sched.State(id); state != job.Done {
			t.Errorf("job %s is %q", id, state)
		}
	}
}
