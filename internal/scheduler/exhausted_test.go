package scheduler

import (
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// newLateListing returns a new owner whose inherited runners have reported long before discovery lists them, with a gang that
// waits for advice.
func newLateListing(t *testing.T) *Scheduler {
	t.Helper()
	now, wall := time.Hour, time.Unix(1_800_000_000, 0)
	s := New(testConfig(), 2, now, wall)
	s.SetQueues([]Queue{{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: time.Second, Advice: &AdvicePolicy{PerCall: 20 * time.Millisecond, TicketTTL: time.Second}}})
	s.Dispatcher().SetMachines([]string{"m1"})
	s.RunnerInherited("r1", "a:1")
	s.RestoreDone()
	s.Report(Report{Runner: "r1", Addr: "a:1", Incarnation: 1, Clock: 1, RequestedAt: s.now})
	s.Submit(job.Spec{ID: "000000000000000a", Queue: "q", Steps: []job.Step{{Count: 2, Gang: true, Need: model.Resources{CoresMilli: 1000}, Estimate: 100}}})
	for _, d := range s.TakeDirty(10, func(string) bool { return false }) {
		s.MarkStored(d.ID, d.Version)
	}
	for range 10 {
		now += 100 * time.Millisecond
		s.Advance(now, wall)
		s.Tick()
		s.Pass()
	}
	if n := adviceRequests(s); n > 0 {
		t.Fatalf("%d advice requests without a listed runner", n)
	}
	return s
}

func adviceRequests(s *Scheduler) int {
	n := 0
	for _, e := range s.Effects() {
		if _, ok := e.(RequestAdvice); ok {
			n++
		}
	}
	return n
}

// TestGangQueriesRunnersThatAreListedLate guards against a gang that never starts after a change of the owner: all its runners had
// reported, it found none to query because none was listed, and the later entries were no reason to look again. Found on bench days
// that end with a restart of all processes (rule LOST).
func TestGangQueriesRunnersThatAreListedLate(t *testing.T) {
	s := newLateListing(t)
	s.RunnerListed(RunnerInfo{ID: "r1", Addr: "a:1", Service: "s", Capacity: model.Resources{CoresMilli: 500, MemoryMB: 100}})
	s.Pass()
	if n := adviceRequests(s); n > 0 {
		t.Fatalf("%d advice requests about a runner that is too small", n)
	}
	s.RunnerListed(RunnerInfo{ID: "r1", Addr: "a:1", Service: "s", Capacity: model.Resources{CoresMilli: 8000, MemoryMB: 8000}})
	s.Pass()
	if n := adviceRequests(s); n != 1 {
		t.Errorf("%d advice requests after the runner has grown, want 1", n)
	}
}

// TestGangQueriesRunnersFreedOfUnknownRuns guards against a gang that never starts because the last runner that it could query was
// unusable as it looked: a run of a job that has ended was still being stopped there.
func TestGangQueriesRunnersFreedOfUnknownRuns(t *testing.T) {
	s := newLateListing(t)
	unknown := RunningRun{Task: job.TaskID{StepID: job.StepID{Job: "00000000000000ff"}}, Run: 1}
	s.Report(Report{Runner: "r1", Addr: "a:1", Incarnation: 1, Clock: 2, RequestedAt: s.now, Running: []RunningRun{unknown}})
	s.RunnerListed(RunnerInfo{ID: "r1", Addr: "a:1", Service: "s", Capacity: model.Resources{CoresMilli: 8000, MemoryMB: 8000}})
	s.Pass()
	if n := adviceRequests(s); n > 0 {
		t.Fatalf("%d advice requests about a runner with an unknown run", n)
	}
	s.Report(Report{Runner: "r1", Addr: "a:1", Incarnation: 1, Clock: 3, RequestedAt: s.now})
	s.Pass()
	if n := adviceRequests(s); n != 1 {
		t.Errorf("%d advice requests after the unknown run has ended, want 1", n)
	}
}
