package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// endRun releases the resources of a run and updates its task according to the outcome.
func (s *Scheduler) endRun(x *run, outcome, checkpoint string) {
	r, t := x.runner, x.task
	if r.runs[x.key()] != x {
		return
	}
	s.release(x)
	r.health.ended(x)
	s.needsPass = true
	if x.state == runReserved {
		t.stage.reservedCount--
	} else {
		s.emit(RunEnded{Task: t.id(), Run: x.number, Runner: r.ID, Outcome: outcome, After: s.now - x.startSentAt})
	}
	if checkpoint != "" && !t.done {
		t.checkpoint = checkpoint
	}
	wasCurrent := t.current == x
	if wasCurrent {
		t.current = nil
	}
	s.updateRunnerHealth(x, outcome)
	st := t.stage
	if st.job.finalState != "" || t.done {
		return
	}
	switch {
	case outcome == EndDone && !st.step.LongRunning:
		s.taskDone(t)
		return
	case outcome == EndFailed && !st.step.LongRunning:
		s.taskFailed(x)
	case outcome == EndFailed && s.failedAtOnce(x):
		s.delayRestart(x)
	}
	if st.step.Gang && st.job.finalState == "" {
		s.stopGang(st, x, "member "+outcome)
	}
}

func (s *Scheduler) taskDone(t *task) {
	st := t.stage
	s.clearSuspect(t)
	if st.step.Gang {
		for _, member := range st.tasks { // the members end together, so one end applies to all
			s.markDone(member)
		}
	} else {
		s.markDone(t)
	}
	s.stateChanged(st.job)
	if st.finished() {
		s.stageDone(st)
	}
}

func (s *Scheduler) markDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	t.stage.doneCount++
	s.inheritedDone(t)
	s.updateDemand(t.stage)
	if t.current != nil && !t.stage.step.Gang {
		s.stop(t.current, "another copy is done")
	}
}

// taskFailed counts a failed run once, even if its end is reported again to a new owner.
func (s *Scheduler) taskFailed(x *run) {
	t, st := x.task, x.task.stage
	t.avoidRunner = x.runner.ID
	counted := t
	if st.step.Gang {
		counted = st.tasks[0] // a gang fails as a whole
	}
	known := slices.Contains(counted.failedRuns, x.number)
	if !known {
		counted.failedRuns = append(counted.failedRuns, x.number)
	}
	s.recordFailure(x)
	if known {
		return
	}
	s.stateChanged(st.job)
	if limit := st.job.queue.Attempts; limit > 0 && len(counted.failedRuns) >= limit {
		s.finish(st.job, job.Failed, fmt.Sprintf("task %s failed %d times", t.id(), len(counted.failedRuns)))
	}
}

func (s *Scheduler) updateRunnerHealth(x *run, outcome string) {
	r := x.runner
	switch outcome {
	case EndDone:
		if !x.adopted { // the start of an adopted run is not known
			r.soundAt = max(r.soundAt, x.startSentAt)
		}
		s.hasWorked(x)
		s.foundSound(x)
		s.observeOutcome(x, false)
		s.observe(x)
	case EndFailed:
		if x.task.stage.step.LongRunning && x.adopted {
			return // how long it has run is not known
		}
		if x.task.stage.step.LongRunning && !s.failedAtOnce(x) {
			s.hasWorked(x)
			return // a long-running task may fail at any time, which doesn't indicate a faulty runner
		}
		if s.isOwnFault(x) || x.besideProbe {
			return
		}
		s.observeOutcome(x, true)
		if r.health.failed(x, s.now) {
			s.emit(RunnerChanged{Runner: r.ID, Change: "quarantined", Detail: "runs of different jobs have failed: " + r.health.accusers()})
		}
	}
}

// failedAtOnce reports whether a run that has failed did so soon after its start, as on a faulty runner.
func (s *Scheduler) failedAtOnce(x *run) bool {
	return !x.adopted && s.now-x.startSentAt <= probeDuration
}

// observe adds the run time of a completed run to the run time model of its queue and, unless it was a member of a gang,
// to the speed estimate of its runner.
func (s *Scheduler) observe(x *run) {
	st := x.task.stage
	if st.step.Gang && x.task.index != 0 || x.resumed {
		return // one member of a gang is enough; the time of a resumed run covers only a part of the work
	}
	m := s.runtimeModels[st.job.spec.Queue]
	if m == nil {
		m = &runtimeModel{}
		s.runtimeModels[st.job.spec.Queue] = m
	}
	expected, measured := s.expectedRunTime(st), s.now-x.startSentAt
	s.observeSpeed(x, expected, measured)
	if !st.step.Gang { // a gang ends with its slowest member, so its run time doesn't show the speed of one runner
		x.runner.speed.observe(expected, measured)
	}
	m.observe(st.step.EstimatedRunTime(), s.onUsualRunner(measured, x))
}

// onUsualRunner scales the run time of a completed run, or of the gang that it completes, to a runner of usual speed.
// Otherwise a queue whose work goes to fast runners would make these look like usual ones.
func (s *Scheduler) onUsualRunner(measured time.Duration, x *run) time.Duration {
	if !s.fleetSpeed.unequal {
		return measured
	}
	slowness := x.runner.slowness
	if x.task.stage.step.Gang {
		for _, r := range x.task.stage.gangRunners {
			slowness = max(slowness, r.slowness)
		}
	}
	return time.Duration(float64(measured) * math.Exp(-slowness))
}

// stalled reports whether a run makes no progress. A member of a gang that has finished its part waits for the others,
// so a gang counts as stalled only if all members are idle.
func stalled(x *run) bool {
	if !x.task.stage.step.Gang {
		return x.idleChecks >= stalledAfterChecks
	}
	for _, t := range x.task.stage.tasks {
		if t.current == nil || t.current.idleChecks < stalledAfterChecks {
			return false
		}
	}
	return true
}

// checkProgress stops a run that has been idle in several usage checks and quarantines its runner, unless the task stands still
// wherever it runs.
func (s *Scheduler) checkProgress(x *run, usage int) {
	const checkInterval = 400 // milliseconds; the reported usage covers the last half second
	if usage < 0 || x.state != runRunning || (s.now-x.lastUsageCheck).Milliseconds() < checkInterval {
		return
	}
	x.lastUsageCheck = s.now
	const warmUp = 700 // milliseconds after the start request until the usage is meaningful
	if usage > 0 || (s.now-x.startSentAt).Milliseconds() < warmUp || x.task.stage.step.Fills || x.task.stage.step.LongRunning {
		x.idleChecks = 0
		return
	}
	x.idleChecks++
	if !stalled(x) {
		return
	}
	if s.isOwnFault(x) || !x.task.counted().failures.mayStall(x.number) {
		return
	}
	if !x.besideProbe {
		x.runner.health.stalled(x, s.now)
		s.emit(RunnerChanged{Runner: x.runner.ID, Change: "quarantined", Detail: "runs make no progress: " + x.runner.health.accusers()})
	}
	s.stop(x, "no progress")
}
