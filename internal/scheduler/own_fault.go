package scheduler

import (
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

const (
	// ownFaultRunners is the number of sound runners on which a task, or a stage, must have failed without a success in between before
	// its failures are its own fault. Runners that fail only some runs may be found sound between two failures.
	ownFaultRunners = 3
	// minRestartDelay and maxRestartDelay limit how long a long-running task waits that fails again and again soon after its start.
	// It must be started again within 6 s of its last run, and without a delay it would take the starts of others.
	minRestartDelay = 250 * time.Millisecond
	maxRestartDelay = 4 * time.Second
)

// taskFailures are the failures of a task, or of the gang whose first task it is, since its last success.
type taskFailures struct {
	soundRunners []string      // different runners on which it has failed and another run was done afterwards
	atOnce       int           // runs of a long-running task that have failed soon after their start, in a row
	restartAt    time.Duration // a long-running task isn't started before
}

func (f *taskFailures) ownFault() bool { return len(f.soundRunners) >= ownFaultRunners }

// repeated reports whether a long-running task has failed soon after its start before.
func (f *taskFailures) repeated() bool { return f != nil && f.atOnce > 0 }

// stageFailures are the failures of the tasks of a stage since the last success of one of them.
type stageFailures struct {
	any          bool
	soundRunners map[string]struct{} // on which a task has failed and another run was done afterwards; nil if there is none
	ownFault     bool                // its tasks fail wherever they run
}

// restartDelay returns how long a long-running task waits after its nth run in a row that has failed soon after its start. The first
// one may be the fault of its runner.
func restartDelay(n int) time.Duration {
	if n < 2 {
		return 0
	}
	return min(minRestartDelay<<min(n-2, 10), maxRestartDelay)
}

// startsLater reports whether a waiting task is not started yet, as its runs fail soon after their start.
func (s *Scheduler) startsLater(t *task) bool {
	f := t.counted().failures
	return f != nil && s.now < f.restartAt
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

// foundSound records that a run which was started at the given time shows that its runner is sound. What has failed there before
// did so by its own fault: a faulty runner fails all that it starts for seconds.
func (s *Scheduler) foundSound(r *runner, startedAt time.Duration) {
	accusations := r.health.accusations
	r.health.succeeded()
	for _, a := range accusations {
		if a.startedAt <= startedAt {
			s.refute(a.task, r)
		}
	}
}

// refute counts a sound runner on which a task has failed. With enough of them its failures count against no runner, nor do those of
// the other tasks of its stage, unless the stage is at work on more runners.
func (s *Scheduler) refute(accuser *task, r *runner) {
	t, st := accuser.counted(), accuser.stage
	if st.failures.ownFault || t.failures == nil {
		return
	}
	if st.failures.soundRunners == nil {
		st.failures.soundRunners = map[string]struct{}{}
	}
	st.failures.soundRunners[r.ID] = struct{}{}
	if n := len(st.failures.soundRunners); n >= ownFaultRunners && n >= st.runnersAtWork() {
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

// WholeStep is the index of OwnFault for all tasks of a step.
const WholeStep = -1

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

// OwnFault reports that the runs of a task, or of a whole step, fail on sound runners, so that their failures count against none.
type OwnFault struct {
	Step     job.StepID
	Index    int // of the task, or WholeStep
	Released int // runners whose quarantine has ended because of it
}

func (OwnFault) effect() {}

// hasWorked records that a run is done or, of a long-running task, is at work for longer than a faulty runner lets it.
func (s *Scheduler) hasWorked(x *run) {
	x.task.counted().failures = nil
	x.task.stage.failures = stageFailures{}
}

// delayRestart lets a long-running task that has failed soon after its start avoid the runner, and wait if it does so again and again.
func (s *Scheduler) delayRestart(x *run) {
	x.task.avoidRunner = x.runner.ID
	s.recordFailure(x)
	f := x.task.counted().failures
	f.atOnce++
	f.restartAt = s.now + restartDelay(f.atOnce)
}

// updateEarlyProbes decides whether a stage may probe runners before their quarantine ends: the runners that admit runs have no room
// for it, although at least half of the cores are free. A quarantine must not keep accepted work from all runners.
func (s *Scheduler) updateEarlyProbes(st *stage) {
	st.probesEarly = false
	if !s.anyQuarantined || st.failures.any {
		return
	}
	need, held := st.step.Reserved(), false
	for _, r := range s.byFreeCores {
		if !s.feasible(st, r) || st.job.queue.Advice != nil && st.advice.queried.has(r.slot) && !s.approved(st, r) {
			continue
		}
		fits := need.Fits(r.free()) && (st.step.MaxPerRunner == 0 || st.runsOn(r) < st.step.MaxPerRunner)
		if r.health.admits(s.now) && (fits || !s.mostlyFree) {
			return
		}
		held = held || fits && s.now < r.health.quarantinedUntil
	}
	st.probesEarly = held
}

// healthAdmits reports whether the health of a runner lets a stage use it.
func (s *Scheduler) healthAdmits(st *stage, r *runner) bool {
	h := &r.health
	if h.probeWorks(s.now) {
		s.foundSound(r, h.probe.startSentAt)
	}
	if !h.admits(s.now) {
		return st.probesEarly && h.admitsEarly(s.now)
	}
	return !h.probing || !st.failures.any || s.now-h.quarantinedUntil >= soundProbeTime
}
