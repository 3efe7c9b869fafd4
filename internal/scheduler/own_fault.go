package scheduler

import (
	"slices"
	"time"
)

// ownFaultRunners is the number of sound runners on which a task, or a stage, must have failed without a success in between before its
// failures are its own fault. Runners that fail only some runs may be found sound between two failures.
const ownFaultRunners = 3

// taskFailures are the failures of a task, or of the gang whose first task it is, since its last success.
type taskFailures struct {
	soundRunners []string      // different runners on which it has failed and another run was done afterwards
	atOnce       int           // runs of a long-running task that have failed soon after their start, in a row
	restartAt    time.Duration // a long-running task isn't started before
	stalls       int           // runs that were stopped as they made no progress, in a row
	stalledRun   int           // number of the last one
}

// maxStalls is the number of runs in a row without progress from which on a task counts as one that needs no processor: it isn't stopped
// any more. A runner on which work stands still does so for seconds.
const maxStalls = 3

// mayStall records that a run makes no progress and reports whether it may be the runner's fault. The members of a gang count once.
func (f *taskFailures) mayStall(run int) bool {
	if f.stalledRun != run {
		f.stalledRun = run
		f.stalls++
	}
	return f.stalls < maxStalls
}

// ownFault reports whether the task has failed on enough sound runners.
func (f *taskFailures) ownFault() bool { return len(f.soundRunners) >= ownFaultRunners }

// repeated reports whether a long-running task has failed soon after its start before.
func (f *taskFailures) repeated() bool { return f != nil && f.atOnce > 0 }

// stageFailures are the failures of the tasks of a stage since the last success of one of them.
type stageFailures struct {
	any          bool
	soundRunners map[string]struct{} // on which a task has failed and another run was done afterwards; nil if there is none
	ownFault     bool                // its tasks fail wherever they run
}

// accusation is a failed run that may be the fault of its runner.
type accusation struct {
	task      *task
	startedAt time.Duration
}

// isOwnFault records a failed run and reports whether it is known to be its task's fault rather than its runner's.
func (s *Scheduler) isOwnFault(x *run) bool {
	st, t := x.task.stage, x.task.counted()
	if t.failures == nil {
		t.failures = &taskFailures{}
	}
	st.failures.any = true
	return st.failures.ownFault || t.failures.ownFault()
}

// foundSound records that a run shows that its runner is sound. What was started there before and has failed did so by its own fault: a
// faulty runner fails all that it starts for seconds.
func (s *Scheduler) foundSound(x *run) {
	accusations := x.runner.health.accusations
	x.runner.health.succeeded()
	for _, a := range accusations {
		if !x.adopted && a.startedAt <= x.startSentAt { // the start of an adopted run is not known
			s.refute(a.task, x.runner)
		}
	}
}

// hasFailed reports whether a task, or another one of its stage, has failed since its last success. Its next failure says little about
// a runner.
func (t *task) hasFailed() bool { return t.stage.failures.any || t.counted().failures != nil }

// mustNotFail reports whether the job fails if the next run of a task does, also if that is its first one, which isLastAttempt leaves out.
func (t *task) mustNotFail() bool {
	limit := t.stage.job.queue.Attempts
	return limit > 0 && !t.stage.step.LongRunning && len(t.counted().failedRuns) >= limit-1
}

// refute counts a sound runner on which a task has failed. With enough of them its failures count against no runner, nor do those of
// the other tasks of its stage, unless the stage is at work on more runners.
func (s *Scheduler) refute(accuser *task, r *runner) {
	t, st := accuser.counted(), accuser.stage
	if st.failures.ownFault || t.failures == nil {
		return
	}
	if st.failures.any && st.refuted(r) {
		st.failures.ownFault = true
		s.exonerateRunners(st, WholeStep, func(other *task) bool { return other.stage == st })
		return
	}
	if t.failures.ownFault() || slices.Contains(t.failures.soundRunners, r.ID) {
		return
	}
	t.failures.soundRunners = append(t.failures.soundRunners, r.ID)
	if t.failures.ownFault() {
		s.exonerateRunners(st, t.index, func(other *task) bool { return other.counted() == t })
	}
}

// refuted counts a sound runner on which a task of the stage has failed, and reports whether there are enough of them.
func (st *stage) refuted(r *runner) bool {
	if st.failures.soundRunners == nil {
		st.failures.soundRunners = map[string]struct{}{}
	}
	st.failures.soundRunners[r.ID] = struct{}{}
	n := len(st.failures.soundRunners)
	return n >= ownFaultRunners && n >= st.runnersAtWork()
}

// runnersAtWork returns the number of runners on which tasks of the stage are at work. The members of a gang end together, so that
// those that are left don't show that the gang works elsewhere.
func (st *stage) runnersAtWork() int {
	if st.step.Gang {
		return 0
	}
	at := map[*runner]struct{}{}
	for _, t := range st.tasks {
		if t.current != nil && t.current.state == runRunning {
			at[t.current.runner] = struct{}{}
		}
	}
	return len(at)
}

// exonerateRunners drops the failures of tasks that fail by their own fault from the health of the runners.
func (s *Scheduler) exonerateRunners(st *stage, index int, match func(*task) bool) {
	released := 0
	for _, r := range s.sortedRunners() {
		if r.health.exonerate(match) {
			released++
			s.emit(RunnerChanged{Runner: r.ID, Change: "quarantine ended", Detail: "the runs that failed are their tasks' fault"})
		}
	}
	s.emit(OwnFault{Step: st.id, Index: index, Released: released})
	s.needsPass = true
}

// hasWorked records that a run is done or, of a long-running task, is at work for longer than a faulty runner lets it.
func (s *Scheduler) hasWorked(x *run) {
	x.task.counted().failures = nil
	x.task.stage.failures = stageFailures{}
}
