package scheduler

import (
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// TestStartWithoutAnswerIsNoCrash guards against a job that is given up for one runner that its task has crashed and another one that
// was lost before it had started the task (rule LOST on varied days of deadly-urgent.toml).
func TestStartWithoutAnswerIsNoCrash(t *testing.T) {
	for _, answered := range []bool{false, true} {
		s := New(testConfig(), 1, time.Hour, time.Unix(1_800_000_000, 0))
		s.SetQueues([]Queue{{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: time.Second}})
		s.RestoreDone()
		s.RunnerListed(RunnerInfo{ID: "r1", Addr: "a:1", Service: "s", Capacity: model.Resources{CoresMilli: 1000, MemoryMB: 1000}})
		s.Report(Report{Runner: "r1", Addr: "a:1", Incarnation: 1, Clock: 1, RequestedAt: s.now})
		const id = "000000000000000a"
		s.Submit(job.Spec{ID: id, Queue: "q", Steps: []job.Step{{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 1000}}})
		for _, d := range s.TakeDirty(10, func(string) bool { return false }) {
			s.MarkStored(d.ID, d.Version)
		}
		s.Pass()
		task := s.jobs[id].stages[0].tasks[0]
		if task.current == nil {
			t.Fatal("the task was not started")
		}
		if answered {
			s.StartAnswered(s.runners["r1"].ref(), task.id(), task.current.number, StartOK)
		}
		s.Advance(s.now+20*time.Millisecond, time.Unix(1_800_000_000, 0))
		s.RunnerUnreachable(s.runners["r1"].ref(), ContactLoss{Reason: "EOF", Closed: true, AliveUntil: s.now})
		if len(task.crashes) != 1 || task.crashes[0].Suspects != 1 || task.crashes[0].Started != answered {
			t.Errorf("start answered %t: crashes %+v", answered, task.crashes)
		}
	}
}
