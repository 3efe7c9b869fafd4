package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// waitsIn runs passes for the given time and returns the reports of long waits. Each second the given function is called.
func waitsIn(s *Scheduler, d time.Duration, eachSecond func()) []StageWaiting {
	var out []StageWaiting
	begin := s.now
	for now := begin; now < begin+d; now += 100 * time.Millisecond {
		if (now-begin)%time.Second == 0 {
			eachSecond()
		}
		s.Advance(now, time.Unix(1_800_000_000, 0).Add(now-begin))
		s.Tick()
		s.Pass()
		for _, e := range s.Effects() {
			if w, ok := e.(StageWaiting); ok {
				out = append(out, w)
			}
		}
	}
	return out
}

// TestGangWithoutRunnerToQueryTellsWhy guards against a gang that waits for good without a line of the log that says why: it makes
// no advice call, and the load shows free cores (second follow-up of docs/incidents/2026-12-04-runner-crash-loop.md).
func TestGangWithoutRunnerToQueryTellsWhy(t *testing.T) {
	s := newLateListing(t)
	waits := waitsIn(s, 12*time.Second, func() {})
	if len(waits) != 2 {
		t.Fatalf("%d reports in 12 s", len(waits))
	}
	want := StageWaiting{Step: waits[0].Step, Tasks: 2, Waited: waits[0].Waited, Cause: "no further runner to query"}
	if waits[0] != want || waits[0].Waited < longWait || waits[0].Waited > longWait+waitCheckInterval {
		t.Errorf("%+v", waits[0])
	}
}

// TestLongWaitsAreBounded guards against a full fleet whose owner reports each of the stages that wait, one whose tasks start
// among them.
func TestLongWaitsAreBounded(t *testing.T) {
	s := New(testConfig(), 1, time.Hour, time.Unix(1_800_000_000, 0))
	s.SetQueues([]Queue{{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: time.Second}})
	s.RestoreDone()
	s.RunnerListed(RunnerInfo{ID: "r1", Addr: "a:1", Service: "s", Capacity: model.Resources{CoresMilli: 1000, MemoryMB: 1000}})
	s.Report(Report{Runner: "r1", Addr: "a:1", Incarnation: 1, Clock: 1, RequestedAt: s.now})
	submit := func(i int) {
		s.Submit(job.Spec{ID: fmt.Sprintf("%016x", i), Queue: "q", Steps: []job.Step{{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 600_000}}})
		for _, d := range s.TakeDirty(100, func(string) bool { return false }) {
			s.MarkStored(d.ID, d.Version)
		}
	}
	for i := range 100 {
		submit(i)
	}
	const seconds = 20
	waits := waitsIn(s, seconds*time.Second, func() {
		s.Report(Report{Runner: "r1", Addr: "a:1", Incarnation: 1, Clock: 1, RequestedAt: s.now})
	})
	if len(waits) < maxReportedWaits || len(waits) > maxReportedWaits*seconds {
		t.Fatalf("%d reports in %d s", len(waits), seconds)
	}
	seen := map[string]bool{}
	for _, w := range waits {
		seen[w.Step.Job] = true
		if w.Cause != "too little free capacity" || w.Eligible != 1 || w.Room != 1 || w.Free != 0 {
			t.Fatalf("%+v", w)
		}
	}
	if len(seen) < len(waits) {
		t.Errorf("%d reports name only %d stages", len(waits), len(seen))
	}
}
