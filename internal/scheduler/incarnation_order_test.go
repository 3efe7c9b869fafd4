package scheduler

import (
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// restartedRun returns a scheduler with a run that is confirmed on incarnation 1000 of runner r1.
func restartedRun(t *testing.T) (*Scheduler, *run) {
	t.Helper()
	s := New(testConfig(), 1, time.Hour, time.Unix(1_800_000_000, 0))
	s.SetQueues([]Queue{{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: time.Second}})
	s.RestoreDone()
	s.RunnerListed(RunnerInfo{ID: "r1", Addr: "a:1", Service: "s", Capacity: model.Resources{CoresMilli: 1000, MemoryMB: 1000}})
	s.Report(Report{Runner: "r1", Addr: "a:1", Incarnation: 1000, Clock: 1, RequestedAt: s.now})
	const id = "000000000000000a"
	s.Submit(job.Spec{ID: id, Queue: "q", Steps: []job.Step{{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 1000}}})
	for _, d := range s.TakeDirty(10, func(string) bool { return false }) {
		s.MarkStored(d.ID, d.Version)
	}
	s.Pass()
	x := s.jobs[id].stages[0].tasks[0].current
	if x == nil {
		t.Fatal("the task was not started")
	}
	s.StartAnswered(x.runner.ref(), x.task.id(), x.number, StartOK)
	s.Effects()
	return s, x
}

// after advances the time and returns it.
func (s *Scheduler) after(d time.Duration) time.Duration {
	s.Advance(s.now+d, s.wall.Add(d))
	return s.now
}

// TestIncarnationBornBeforeItsPredecessor guards against a runner that is never used again, and whose runs stay running for ever:
// its machine's time of day has jumped back before it started again, so that it seems older than the incarnation before.
func TestIncarnationBornBeforeItsPredecessor(t *testing.T) {
	s, x := restartedRun(t)
	asked := s.after(time.Second)
	s.after(10 * time.Millisecond)
	s.Report(Report{Runner: "r1", Addr: "a:1", Incarnation: 400, Clock: 1, RequestedAt: asked})
	if x.runner.runs[x.key()] == x {
		t.Error("the run of the former incarnation goes on")
	}
	s.Pass()
	for _, e := range s.Effects() {
		if start, ok := e.(StartRun); ok && start.Runner.Incarnation == 400 {
			return
		}
	}
	t.Error("the task isn't started on the new incarnation")
}

// TestLateReportOfFormerIncarnation guards against a task that runs twice: a report of an incarnation that has ended, which
// arrives late, took the runs of the new one for gone.
func TestLateReportOfFormerIncarnation(t *testing.T) {
	for _, former := range []int64{400, 2000} { // born before and after
		s, x := restartedRun(t)
		asked := s.after(time.Second)
		s.after(100 * time.Millisecond)
		s.Report(Report{Runner: "r1", Addr: "a:1", Incarnation: 1000, Clock: 50, RequestedAt: s.now, Running: []RunningRun{{Task: x.task.id(), Run: x.number, Usage: -1}}})
		s.after(10 * time.Millisecond)
		s.Report(Report{Runner: "r1", Addr: "a:1", Incarnation: former, Clock: 90_000, RequestedAt: asked})
		if x.runner.runs[x.key()] != x || x.runner.incarnation != 1000 {
			t.Errorf("former incarnation %d: its late report ended the run", former)
		}
	}
}

// TestStopConfirmedByFormerIncarnation guards against a task that runs twice: a stop that an incarnation had confirmed before it
// ended, known only after the next one had answered, counted for the next one, where the unanswered start may still arrive.
func TestStopConfirmedByFormerIncarnation(t *testing.T) {
	s, x := restartedRun(t)
	x.state, x.startConfirmedAt = runStarting, 0 // its start got no answer
	former := x.runner.ref()
	s.StartAnswered(x.runner.ref(), x.task.id(), x.number, StartUnknown)
	report := func(clock int64) {
		s.after(10 * time.Millisecond)
		s.Report(Report{Runner: "r1", Addr: "a:1", Incarnation: 2000, Clock: clock, RequestedAt: s.now})
	}
	report(1)
	s.after(10 * time.Millisecond)
	s.StopAnswered(former, x.task.id(), x.number)
	report(2)
	if x.runner.runs[x.key()] != x {
		t.Error("the task may start again although the start may still arrive")
	}
	s.StopAnswered(x.runner.ref(), x.task.id(), x.number)
	report(3)
	if x.runner.runs[x.key()] == x {
		t.Error("the run is kept although the present incarnation refuses it")
	}
}

// TestFailureOfFormerIncarnation guards against a new incarnation of a runner that gets no work, or whose runs are suspected of a
// crash, because of a call for the former one whose failure is processed late.
func TestFailureOfFormerIncarnation(t *testing.T) {
	s, x := restartedRun(t)
	former := x.runner.ref()
	s.after(10 * time.Millisecond)
	s.Report(Report{Runner: "r1", Addr: "a:1", Incarnation: 2000, Clock: 1, RequestedAt: s.now})
	s.RunnerUnreachable(former, ContactLoss{Reason: "EOF", Closed: true, AliveUntil: s.now - time.Second})
	if x.runner.unreachable || x.runner.loss != nil {
		t.Error("the new incarnation counts as lost")
	}
}

// TestStartAnsweredByFormerIncarnation guards against answers of an incarnation that has ended, processed late, which quarantine the
// next one, or keep the task waiting for a stop although the start can't arrive there.
func TestStartAnsweredByFormerIncarnation(t *testing.T) {
	for outcome, known := range map[StartOutcome]bool{
		StartOK: true, StartRefused: true, StartTicketInvalid: true, StartUnhealthy: true, StartNotSent: true,
		StartUnknown: false, StartUnsettled: false,
	} {
		s, x := restartedRun(t)
		x.state, x.startConfirmedAt = runStarting, 0 // its start is on its way
		former := x.runner.ref()
		s.after(10 * time.Millisecond)
		s.Report(Report{Runner: "r1", Addr: "a:1", Incarnation: 2000, Clock: 1, RequestedAt: s.now})
		s.StartAnswered(former, x.task.id(), x.number, outcome)
		if !x.runner.health.admits(s.now) {
			t.Errorf("%s: the new incarnation is quarantined", outcome)
		}
		if ended := x.runner.runs[x.key()] != x; ended != known {
			t.Errorf("%s: run ended %t, want %t", outcome, ended, known)
		}
	}
}
