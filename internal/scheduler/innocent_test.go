package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// mustFinishAll checks that all jobs end as done.
func (l *crashLoad) mustFinishAll(t *testing.T) {
	t.Helper()
	l.sim.mustFinish(t, 60*time.Second)
	for id, finished := range l.sim.finished {
		if finished.State != job.Done {
			t.Errorf("job %s is %s: %s", id, finished.State, finished.Reason)
		}
	}
}

// runnersAt returns the runners that are up and whose info matches.
func (sim *simulation) runnersAt(match func(RunnerInfo) bool) []*fakeRunner {
	var out []*fakeRunner
	for _, r := range sim.runners {
		if !r.ended && match(r.info) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *fakeRunner) int { return strings.Compare(a.info.ID, b.info.ID) })
	return out
}

// TestLostRacksBlameNoTask guards against a job that is given up because its runners were in racks that lost power.
func TestLostRacksBlameNoTask(t *testing.T) {
	for seed := range 5 {
		l := newCrashLoad(int64(seed), 24)
		for i := range 6 {
			l.run(2*time.Second, "", 1)
			for _, r := range l.sim.runnersAt(func(info RunnerInfo) bool { return info.Rack == fmt.Sprintf("rack%d", (i+seed)%6) }) {
				r.crash()
			}
		}
		l.mustFinishAll(t)
	}
}

// TestTaskSurvivesManyRackLosses guards against a long task that is given up for the count of its lost runners, although each was lost
// with its whole rack.
func TestTaskSurvivesManyRackLosses(t *testing.T) {
	sim := newMixedSimulation(3, 24)
	sim.removeAdvice("fill")
	const id = "f000000000000001"
	sim.submitStep("fill", id, job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 20_000})
	for range 6 {
		sim.run(6 * time.Second)
		for _, busy := range sim.runnersAt(func(info RunnerInfo) bool { return len(sim.runners[info.ID].runs) > 0 }) {
			for _, r := range sim.runnersAt(func(info RunnerInfo) bool { return info.Rack == busy.info.Rack }) {
				r.crash()
			}
		}
	}
	sim.mustFinish(t, 60*time.Second)
	if finished := sim.finished[id]; finished.State != job.Done {
		t.Errorf("the job is %s: %s", finished.State, finished.Reason)
	}
}

// TestCrashingRunnersBlameNoTask guards against a job that is given up because of runners that crash by themselves, again and
// again, whatever runs there.
func TestCrashingRunnersBlameNoTask(t *testing.T) {
	for seed := range 5 {
		l := newCrashLoad(int64(seed), 24)
		for range 20 {
			l.run(700*time.Millisecond, "", 1)
			for _, r := range l.sim.runnersAt(func(info RunnerInfo) bool { return info.Addr == "10.0.0.3:1" || info.Addr == "10.0.0.7:1" }) {
				r.crash()
			}
		}
		l.mustFinishAll(t)
	}
}

// TestSilentRunnersBlameNoTask guards against a task that is a suspect, or given up, because runners were cut off and answer
// again, or because their connections were reset.
func TestSilentRunnersBlameNoTask(t *testing.T) {
	for seed := range 5 {
		l := newCrashLoad(int64(seed), 24)
		for range 12 {
			l.run(time.Second, "", 1)
			r := l.sim.runnersAt(func(RunnerInfo) bool { return true })[l.sim.rng.Intn(24)]
			if l.sim.rng.Intn(2) == 0 {
				l.sim.sched.RunnerUnreachable(r.ref(), ContactLoss{Reason: "reset", Closed: true, AliveUntil: l.sim.now})
				continue
			}
			r.unreachable = true
			l.sim.afterFunc(time.Duration(1000+l.sim.rng.Intn(7000))*time.Millisecond, func() { r.unreachable = false })
		}
		l.mustFinishAll(t)
	}
}

// TestSuspectsStartApart guards against a second crash that costs others their runs: a task under which a runner was lost starts
// on a runner where nothing runs but other suspects.
func TestSuspectsStartApart(t *testing.T) {
	for seed := range 5 {
		l := newCrashLoad(int64(seed), 24)
		l.run(2*time.Second, "", 1)
		l.submit("fill", true)
		l.submit("urgent", true)
		l.run(12*time.Second, "", 1)
		suspects, apart, lost := map[string]bool{}, map[string]bool{}, 0
		for _, line := range l.sim.history("") {
			task, runner := field(line, "Task"), field(line, "Runner")
			switch {
			case strings.Contains(line, "CrashCounted"):
				suspects[task] = true
			case strings.Contains(line, "Change:set apart"):
				apart[runner] = true
			case strings.Contains(line, "Outcome:replaced") && apart[runner]:
				lost++
				if !suspects[task] {
					t.Errorf("seed %d: lost with a suspect: %s", seed, line)
				}
			}
		}
		if lost < 2 {
			t.Errorf("seed %d: %d runs were lost with runners that were set apart, want one of each culprit", seed, lost)
		}
		l.mustFinishAllBut(t, 2)
	}
}

// field returns the value of a field in a line of the trace.
func field(line, name string) string {
	_, rest, _ := strings.Cut(line, name+":")
	value, _, _ := strings.Cut(rest, " ")
	return strings.TrimSuffix(value, "}")
}

// mustFinishAllBut checks that all jobs end as done but for a number that fail.
func (l *crashLoad) mustFinishAllBut(t *testing.T, failed int) {
	t.Helper()
	l.sim.mustFinish(t, 60*time.Second)
	n := 0
	for _, finished := range l.sim.finished {
		if finished.State == job.Failed {
			n++
		}
	}
	if n != failed {
		t.Errorf("%d jobs have failed, want %d", n, failed)
	}
}

// TestHarmfulQueueIsKeptApart guards against tasks of one queue that crash so many runners that the work of the other queues is
// lost again and again.
func TestHarmfulQueueIsKeptApart(t *testing.T) {
	lost := func(seed int64, kept bool) int {
		l := newCrashLoad(seed, 48)
		if !kept {
			l.sim.sched.crashes.kept["urgent"] = keptQueue{at: l.sim.now}
		}
		l.run(2*time.Second, "", 1)
		l.run(10*time.Second, "urgent", 4)
		n := 0
		for _, line := range l.sim.history("RunEnded") {
			if strings.Contains(line, "Outcome:replaced") && !strings.Contains(line, "Task:aaaaaa") {
				n++
			}
		}
		return n
	}
	without, with := 0, 0
	for seed := range int64(6) {
		without, with = without+lost(seed, false), with+lost(seed, true)
	}
	t.Logf("%d runs of other queues were lost, %d if the queue isn't kept apart", with, without)
	if 2*with > without {
		t.Errorf("%d runs of other queues were lost, %d if the queue isn't kept apart; want at most half", with, without)
	}
}

// TestSpeculativeTaskThatCrashesRunners guards against copies of a speculative task that crash one runner after the other before
// the loss of the first one is certain.
func TestSpeculativeTaskThatCrashesRunners(t *testing.T) {
	sim := newMixedSimulation(4, 12)
	sim.removeAdvice("fill")
	sim.deadly = func(job.TaskID) bool { return true }
	sim.submitStep("fill", "f000000000000001", job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 2000, Speculative: true})
	sim.run(30 * time.Second)
	if n := sim.crashes[job.TaskID{StepID: job.StepID{Job: "f000000000000001"}}]; n > 2 {
		t.Errorf("the task has crashed %d runners, want 2", n)
	}
	if state := sim.finished["f000000000000001"].State; state != job.Failed {
		t.Errorf("the job is %q, want failed", state)
	}
}

// TestLongRunningTaskIsClearedAfterItSurvives guards against a service that is given up after it has lost its runner a few times
// in a long life.
func TestLongRunningTaskIsClearedAfterItSurvives(t *testing.T) {
	sim := newMixedSimulation(5, 12)
	sim.removeAdvice("fill")
	sim.runFor = func(job.Step) time.Duration { return time.Hour }
	sim.submitStep("fill", "f000000000000001", job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 2000, LongRunning: true})
	for range 8 {
		sim.run(15 * time.Second)
		for _, r := range sim.runnersAt(func(RunnerInfo) bool { return true }) {
			if len(r.runs) > 0 {
				r.crash()
			}
		}
	}
	sim.run(10 * time.Second)
	if finished, ok := sim.finished["f000000000000001"]; ok {
		t.Errorf("the service is %s: %s", finished.State, finished.Reason)
	}
}

// TestGangStartsAfterIsolation guards against a gang that needs a runner which was set apart while the gang looked for runners, and
// that never asks for advice about it again.
func TestGangStartsAfterIsolation(t *testing.T) {
	sim := newMixedSimulation(6, 4)
	sim.eligible = func(job.StepID, string) bool { return true }
	sim.sched.updateIsolation()
	r := sim.sched.sortedRunners()[1]
	sim.sched.isolationFor(r.Service, riskByTask).limit, sim.sched.isolationFor(r.Service, riskByTask).wanted = 1, 1
	sim.sched.setApart(r, riskByTask)
	if r.isolation == nil {
		t.Fatal("the runner was not set apart")
	}
	r.riskyAt = sim.now + time.Second
	sim.submitStep("gang", "g000000000000001", job.Step{Count: 4, Need: model.Resources{CoresMilli: 8000}, Estimate: 1000, Gang: true})
	sim.run(time.Second)
	if _, begun := sim.firstStarts["g000000000000001"]; begun {
		t.Error("the gang has started on a runner that is set apart")
	}
	sim.mustFinish(t, 15*time.Second)
}

// TestSuspectGangFindsRunners guards against a gang under which a runner was lost that never starts again, because it needs more
// runners than are set apart, or others than are eligible.
func TestSuspectGangFindsRunners(t *testing.T) {
	for seed := range 10 {
		sim := newMixedSimulation(int64(seed), 24)
		sim.eligible = func(step job.StepID, runner string) bool { return xxhash.Sum64String(step.Job+runner)%4 == 0 }
		l := &crashLoad{sim: sim, culprits: map[string]bool{}, sent: map[string]time.Duration{}}
		const gang = "g000000000000001"
		step := job.Step{Count: 3, Need: model.Resources{CoresMilli: 3500}, Estimate: 4000, Gang: true}
		sim.specs[gang] = job.Spec{ID: gang, Queue: "gang", Steps: []job.Step{step}}
		sim.submitStep("gang", gang, step)
		for begun := false; !begun; _, begun = sim.firstStarts[gang] {
			sim.run(10 * time.Millisecond)
		}
		for _, r := range sim.runnersAt(func(RunnerInfo) bool { return true }) {
			if len(r.runs) > 0 { // its start is a few milliseconds old
				r.crash()
				break
			}
		}
		l.run(10*time.Second, "", 1)
		if len(sim.history("CrashCounted")) == 0 {
			t.Fatal("the gang is no suspect")
		}
		sim.mustFinish(t, 30*time.Second)
	}
}

// TestLossesOfOneMomentGiveNothingUp guards against a gang that is given up because several of its runners were lost at the same
// moment, and against one that is given up before it is certain that they were.
func TestLossesOfOneMomentGiveNothingUp(t *testing.T) {
	for seed := range 10 {
		sim := newMixedSimulation(int64(seed), 24)
		const gang = "g000000000000001"
		sim.submitStep("gang", gang, job.Step{Count: 4, Need: model.Resources{CoresMilli: 5000}, Estimate: 3000, Gang: true})
		for begun := false; !begun; _, begun = sim.firstStarts[gang] {
			sim.run(10 * time.Millisecond)
		}
		lost := 0
		for _, r := range sim.runnersAt(func(RunnerInfo) bool { return true }) {
			if len(r.runs) > 0 && lost < 2 {
				lost++
				r.crash()
			}
		}
		if lost != 2 {
			t.Fatalf("%d runners were lost, want 2", lost)
		}
		sim.mustFinish(t, 60*time.Second)
		if state := sim.finished[gang].State; state != job.Done {
			t.Errorf("the gang is %s: %s", state, sim.finished[gang].Reason)
		}
	}
}

// TestStartOnSilentRunnerIsNoCrash guards against a job that is given up for the loss of runners that had been silent since before
// its task was sent to them: when another runner answers at their addresses, nothing is known of their last moments.
func TestStartOnSilentRunnerIsNoCrash(t *testing.T) {
	sim := newMixedSimulation(7, 12)
	sim.removeAdvice("fill")
	const id = "f000000000000001"
	sim.submitStep("fill", id, job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 2000})
	for range 3 {
		sim.trace = nil
		for range 1000 {
			if sim.run(10 * time.Millisecond); len(sim.history("StartRun")) > 0 {
				break
			}
		}
		starts := sim.history("StartRun")
		if len(starts) == 0 {
			t.Fatalf("the task is not started again; its job is %s: %s", sim.finished[id].State, sim.finished[id].Reason)
		}
		r := sim.runners[field(starts[0], "ID")]
		r.unreachable = true
		sim.run(time.Second) // the start gets no answer and the polls fail
		r.ended, r.delisted = true, true
		sim.sched.RunnerReplaced(r.ref())
		sim.sched.RunnerDelisted(r.info.ID)
	}
	for _, st := range sim.sched.jobs[id].stages {
		for _, crash := range st.tasks[0].crashes {
			if crash.Suspects > 0 {
				t.Errorf("the task is a suspect of %+v", crash)
			}
		}
	}
	sim.mustFinish(t, 30*time.Second)
	if finished := sim.finished[id]; finished.State != job.Done {
		t.Errorf("the job is %s: %s", finished.State, finished.Reason)
	}
}

// TestClearedSuspectsLeaveNoCulprit guards against a task that counts as the only suspect of a loss because the others have been
// cleared: the runner may have crashed by itself.
func TestClearedSuspectsLeaveNoCulprit(t *testing.T) {
	for seed := range 10 {
		sim := newMixedSimulation(int64(seed), 24)
		sim.removeAdvice("fill")
		sim.runFor = func(job.Step) time.Duration { return time.Duration(200+sim.rng.Intn(4000)) * time.Millisecond }
		const id = "f000000000000001"
		sim.submitStep("fill", id, job.Step{Count: 4, Need: model.Resources{CoresMilli: 500}, Estimate: 1000})
		for range 3 {
			for range 1000 {
				if sim.run(10 * time.Millisecond); len(sim.history("begins on")) > 0 {
					break
				}
			}
			sim.trace = nil
			for _, r := range sim.runnersAt(func(RunnerInfo) bool { return true }) {
				if len(r.runs) > 0 {
					r.crash()
				}
			}
			sim.run(crashDowntime + time.Second)
		}
		sim.mustFinish(t, 60*time.Second)
		if finished := sim.finished[id]; finished.State != job.Done {
			t.Errorf("seed %d: the job is %s: %s", seed, finished.State, finished.Reason)
		}
	}
}

// TestFinishedJobsAreNoSuspects guards against suspects that are never forgotten, because their job had ended when the runner of
// their last run was lost.
func TestFinishedJobsAreNoSuspects(t *testing.T) {
	sim := newMixedSimulation(8, 8)
	sim.removeAdvice("fill")
	sim.submitStep("fill", "f000000000000001", job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 9000})
	sim.run(time.Second)
	r := sim.runnersAt(func(info RunnerInfo) bool { return len(sim.runners[info.ID].runs) > 0 })[0]
	sim.sched.Cancel("f000000000000001")
	r.crash()
	sim.run(10 * time.Second)
	if n := len(sim.sched.crashes.byTask); n > 0 {
		t.Errorf("%d suspects are left after their job has ended", n)
	}
}

// TestEachSuspectGetsARunner guards against suspects that wait for one runner that is set apart, one after the other, although
// more may be: on a busy fleet each takes seconds to become idle.
func TestEachSuspectGetsARunner(t *testing.T) {
	const runners, suspects = 48, 4 // a twelfth may be set apart
	sim := newMixedSimulation(9, runners)
	sim.removeAdvice("urgent", "fill")
	for i := range runners {
		sim.submitStep("fill", fmt.Sprintf("f%015x", i), job.Step{Count: 1, Need: model.Resources{CoresMilli: 7000}, Estimate: 10_000})
	}
	sim.run(time.Second)
	for i := range suspects {
		id := fmt.Sprintf("a%015x", i)
		sim.submitStep("urgent", id, job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 500})
		suspect := sim.sched.jobs[id].stages[0].tasks[0]
		suspect.crashes = []job.Crash{{Runner: "lost", Run: 1, Suspects: 1, Started: true}}
		sim.sched.crashes.byTask[suspect] = nil
	}
	sim.run(500 * time.Millisecond)
	if n := sim.sched.Stats().IsolatedRunners; n != suspects {
		t.Errorf("%d runners are set apart for %d suspects", n, suspects)
	}
	sim.mustFinish(t, 30*time.Second)
}

// TestSuspectWaitsForItsRecord guards against a task that crashes runner after runner under owners that can't reach the store, each of
// which counts from zero.
func TestSuspectWaitsForItsRecord(t *testing.T) {
	for name, step := range crashLoadSteps {
		l := newCrashLoad(1, 24)
		l.submit(name, true)
		task := job.TaskID{StepID: job.StepID{Job: slices.Collect(maps.Keys(l.culprits))[0]}, Index: 1}
		l.sim.run(30 * time.Millisecond) // its acceptance is durable
		l.sim.storeDown = true
		for range 4 {
			l.sim.run(12 * time.Second)
			l.sim.takeover()
		}
		if n := l.sim.crashes[task]; n > maxCrashesOfTask {
			t.Errorf("%s of %d: %d runners have crashed, limit %d", name, step.Count, n, maxCrashesOfTask)
		}
		l.sim.storeDown = false
		l.mustFinishAllBut(t, 1)
	}
}
