package scheduler

import (
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// TestPendingUntilAStartIsTaken guards against callers who are told that no job waits while accepted jobs haven't begun (rule
// MIXED): a start that was sent counted as begun, also if the runner refused it or didn't answer.
func TestPendingUntilAStartIsTaken(t *testing.T) {
	const id = "000000000000000a"
	task := job.TaskID{StepID: job.StepID{Job: id}}
	answer := func(outcome StartOutcome) func(*Scheduler, int) {
		return func(s *Scheduler, run int) { s.StartAnswered(s.runners["r1"].ref(), task, run, outcome) }
	}
	report := func(running []RunningRun, ended []EndedRun) func(*Scheduler, int) {
		return func(s *Scheduler, run int) {
			for i := range running {
				running[i].Run = run
			}
			for i := range ended {
				ended[i].Run = run
			}
			s.Report(Report{Runner: "r1", Addr: "a:1", Incarnation: 1, Clock: 2, RequestedAt: s.now, Running: running, Ended: ended})
		}
	}
	for name, c := range map[string]struct {
		then    func(s *Scheduler, run int)
		pending int
	}{
		"sent":            {func(*Scheduler, int) {}, 1},
		"refused":         {answer(StartRefused), 1},
		"unhealthy":       {answer(StartUnhealthy), 1},
		"ticket refused":  {answer(StartTicketInvalid), 1},
		"not sent":        {answer(StartNotSent), 1},
		"no answer":       {answer(StartUnknown), 1},
		"no answer, busy": {answer(StartUnsettled), 1},
		"taken":           {answer(StartOK), 0},
		"listed":          {report([]RunningRun{{Task: task, Usage: -1}}, nil), 0},
		"ended":           {report(nil, []EndedRun{{Seq: 1, Task: task, Outcome: EndStopped}}), 0},
		"not listed":      {report(nil, nil), 1},
	} {
		s := New(testConfig(), 1, time.Hour, time.Unix(1_800_000_000, 0))
		s.SetQueues([]Queue{{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: time.Second}})
		s.RestoreDone()
		s.RunnerListed(RunnerInfo{ID: "r1", Addr: "a:1", Service: "s", Capacity: model.Resources{CoresMilli: 1000, MemoryMB: 1000}})
		s.Report(Report{Runner: "r1", Addr: "a:1", Incarnation: 1, Clock: 1, RequestedAt: s.now})
		s.Submit(job.Spec{ID: id, Queue: "q", Steps: []job.Step{{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 1000}}})
		for _, d := range s.TakeDirty(10, func(string) bool { return false }) {
			s.MarkStored(d.ID, d.Version)
		}
		s.Pass()
		current := s.jobs[id].stages[0].tasks[0].current
		if current == nil {
			t.Fatal("the task was not started")
		}
		c.then(s, current.number)
		if pending := s.Pending()["q"]; pending != c.pending {
			t.Errorf("%s: %d jobs pending, want %d", name, pending, c.pending)
		}
		want := job.Queued
		if c.pending == 0 {
			want = job.Running
		}
		if state, _ := s.State(id); state != want {
			t.Errorf("%s: state %s, want %s", name, state, want)
		}
	}
}

// TestPendingAfterCrashWithoutStart guards against the same after a change of owner: a job whose only start was on a runner that was
// lost before it answered has not begun.
func TestPendingAfterCrashWithoutStart(t *testing.T) {
	for _, started := range []bool{false, true} {
		s := New(testConfig(), 2, time.Hour, time.Unix(1_800_000_000, 0))
		s.SetQueues([]Queue{{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: time.Second}})
		spec := job.Spec{ID: "000000000000000a", Queue: "q", Steps: []job.Step{{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 1000}}}
		crashes := map[int][]job.Crash{0: {{Runner: "r1", Incarnation: 1, Run: 1, Started: started}}}
		s.Restore(&job.Record{Spec: spec, Progress: []job.Progress{{Crashes: crashes}}})
		s.RestoreDone()
		if pending := s.Pending()["q"]; (pending == 0) != started {
			t.Errorf("start taken %t: %d jobs pending", started, pending)
		}
	}
}
