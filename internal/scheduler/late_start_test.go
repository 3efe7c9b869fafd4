package scheduler

import (
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// TestLateStartBeforeFirstContact guards against a task that runs twice: a start that got no answer, and whose stop its runner has
// confirmed, is carried out seconds later by the next incarnation of that runner before anyone has called it.
func TestLateStartBeforeFirstContact(t *testing.T) {
	sim := newMixedSimulation(3, 2)
	sim.removeAdvice("fill")
	sim.submitStep("fill", "f000000000000001", job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 9000})
	sim.runFor = func(job.Step) time.Duration { return 9 * time.Second }
	sim.run(100 * time.Millisecond)
	x := sim.sched.jobs["f000000000000001"].stages[0].tasks[0].current
	if x == nil {
		t.Fatal("the task was not started")
	}
	r := sim.runners[x.runner.ID]
	delete(r.runs, x.key()) // the start is still on its way
	sim.running[x.key().task]--
	x.state, x.startConfirmedAt = runStarting, 0
	late, fence := StartRun{Runner: x.runner.ref(), Task: x.task.id(), Run: x.number}, sim.fence(r)
	sim.sched.StartAnswered(late.Runner, late.Task, late.Run, StartUnknown)
	info := r.info
	info.Draining = true // so that the next run is elsewhere
	sim.sched.RunnerListed(info)
	sim.run(2 * time.Second)
	if len(r.runs) > 0 || sim.running[late.Task] != 1 {
		t.Fatalf("%d runs there, %d in all: the task doesn't run elsewhere", len(r.runs), sim.running[late.Task])
	}
	r.restart()
	late.Runner.Incarnation = r.incarnation // the incarnation that is there takes it for its own
	r.start(late, fence, sim.now+time.Second, true)
	sim.reportViolations(t)
}
