package scheduler

import (
	"fmt"
	"slices"

	"github.com/agateyard/agateyard/internal/job"
)

// endRun frees the room of a run and decides what its end means for its task.
func (s *Scheduler) endRun(x *run, how, saved string) {
	r, t := x.runner, x.task
	if r.runs[x.key()] != x {
		return
	}
	delete(r.runs, x.key())
	r.health.ended(x)
	r.used = r.used.Sub(x.charge)
	s.needsPass = true
	if x.state == runHeld {
		t.stage.held--
	} else {
		s.emit(RunEnded{Task: t.id(), Run: x.number, Runner: r.ID, Outcome: how, After: s.now - x.ordered})
	}
	if saved != "" && !t.done {
		t.saved = saved
	}
	wasCurrent := t.current == x
	if wasCurrent {
		t.current = nil
	}
	s.judgeRunner(x, how)
	st := t.stage
	if st.job.final != "" || t.done {
		return
	}
	switch {
	case how == EndDone && !st.step.LongRunning:
		s.taskDone(t)
		return
	case how == EndFailed && !st.step.LongRunning:
		s.taskFailed(x)
	}
	if st.step.Gang && st.job.final == "" {
		s.breakGang(st, x, "member "+how)
	}
}

func (s *Scheduler) taskDone(t *task) {
	st := t.stage
	if st.step.Gang {
		for _, member := range st.tasks { // the members end together, one end stands for all
			s.markDone(member)
		}
	} else {
		s.markDone(t)
	}
	s.changed(st.job)
	if st.finished() {
		s.stageDone(st)
	}
}

func (s *Scheduler) markDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	t.stage.doneN++
	if t.current != nil && !t.stage.step.Gang {
		s.stop(t.current, "another copy is done")
	}
}

// taskFailed counts a failed run once, also if its end is told again to a new owner.
func (s *Scheduler) taskFailed(x *run) {
	t, st := x.task, x.task.stage
	t.avoid = x.runner.ID
	counted := t
	if st.step.Gang {
		counted = st.tasks[0] // a gang fails as a whole
	}
	if slices.Contains(counted.failed, x.number) {
		return
	}
	counted.failed = append(counted.failed, x.number)
	s.changed(st.job)
	if limit := st.job.queue.Attempts; limit > 0 && len(counted.failed) >= limit {
		s.finish(st.job, job.Failed, fmt.Sprintf("task %s failed %d times", t.id(), len(counted.failed)))
	}
}

func (s *Scheduler) judgeRunner(x *run, how string) {
	r := x.runner
	switch how {
	case EndDone:
		r.health.succeeded()
		s.observe(x)
	case EndFailed:
		if x.task.stage.step.LongRunning && s.now-x.ordered > probeSurvives {
			return // such a task may fail at any time
		}
		if r.health.failed(x.task.stage.id.Job, s.now) {
			s.emit(RunnerChanged{Runner: r.ID, Change: "quarantined", Detail: "unlike jobs fail there"})
		}
	}
}

// observe feeds the run time of a task that was done to its queue's model.
func (s *Scheduler) observe(x *run) {
	st := x.task.stage
	if st.step.Gang && x.task.index != 0 || x.resumed {
		return // the members of a gang tell the same; a resumed run is only the rest of one
	}
	m := s.models[st.job.spec.Queue]
	if m == nil {
		m = &runtimeModel{}
		s.models[st.job.spec.Queue] = m
	}
	if !st.step.Gang { // its run ends with the slowest member
		x.runner.speed.observe(s.expectedRun(st), s.now-x.ordered)
	}
	m.observe(st.step.EstimatedRunTime(), s.now-x.ordered)
}

// stalled reports whether a run stands still. A member of a gang that has done its share waits for the others, so that
// a gang stands still only as a whole.
func stalled(x *run) bool {
	if !x.task.stage.step.Gang {
		return x.idle >= stalledReports
	}
	for _, t := range x.task.stage.tasks {
		if t.current == nil || t.current.idle < stalledReports {
			return false
		}
	}
	return true
}

// watchProgress stops a run that has stood still for several reports and sets its runner aside.
func (s *Scheduler) watchProgress(x *run, usage int) {
	const lookInterval = 400 // milliseconds; usage covers the last half second
	if usage < 0 || x.state != runRunning || (s.now-x.lastLook).Milliseconds() < lookInterval {
		return
	}
	x.lastLook = s.now
	const settleIn = 700 // milliseconds from the start until the usage means something
	if usage > 0 || (s.now-x.ordered).Milliseconds() < settleIn || x.task.stage.step.Fills || x.task.stage.step.LongRunning {
		x.idle = 0
		return
	}
	x.idle++
	if !stalled(x) {
		return
	}
	x.runner.health.quarantine(s.now)
	s.emit(RunnerChanged{Runner: x.runner.ID, Change: "quarantined", Detail: "runs stand still"})
	s.stop(x, "stands still")
}
