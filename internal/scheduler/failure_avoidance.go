package scheduler

import (
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

const (
	// retryDelay is how long a task that has failed waits for another runner before it may use the same one again. Work that has
	// room must not wait for 3 s.
	retryDelay = 2 * time.Second
	// lastRetryDelay is the same for the last attempt and runners where a run has failed at once, as on a faulty runner: faults last
	// for seconds, and another failure ends the job.
	lastRetryDelay = failureMemory
)

// failedRun is a run of a task that has failed lately, as far as it decides where the task runs next.
type failedRun struct {
	runner string
	at     time.Duration // when it ended
	wall   int64         // the same in Unix milliseconds
	atOnce bool          // soon after its start; a faulty runner fails its runs at once
	before *failedRun    // the one before, on another runner; nil if there is none that matters
}

// recordFailure lets a task avoid the runner of a failed run.
func (s *Scheduler) recordFailure(x *run) {
	t := x.task
	for at := &t.lastFailure; *at != nil; {
		if f := *at; s.now-f.at >= lastRetryDelay || f.runner == x.runner.ID {
			*at = f.before
		} else {
			at = &f.before
		}
	}
	t.lastFailure = &failedRun{
		runner: x.runner.ID, at: s.now, wall: s.wall.UnixMilli(), atOnce: s.now-x.startSentAt < probeDuration, before: t.lastFailure,
	}
}

// avoidedUntil returns until when a task avoids the runner of a failed run.
func (t *task) avoidedUntil(f *failedRun) time.Duration {
	if f.atOnce && t.stage.isLastAttempt(t.counted()) {
		return f.at + lastRetryDelay
	}
	return f.at + retryDelay
}

// failedLately returns the failed runs for the record of the task.
func (t *task) failedLately() []job.FailedRun {
	var out []job.FailedRun
	for f := t.lastFailure; f != nil; f = f.before {
		out = append(out, job.FailedRun{Runner: f.runner, Ended: f.wall, AtOnce: f.atOnce})
	}
	return out
}

// restoreFailures restores what a predecessor has recorded, as far as it may still matter. The clock of the predecessor may differ.
func (s *Scheduler) restoreFailures(t *task, recorded []job.FailedRun) {
	for _, f := range recorded {
		if age := max(time.Duration(s.wall.UnixMilli()-f.Ended)*time.Millisecond, 0); age < lastRetryDelay {
			t.lastFailure = &failedRun{runner: f.Runner, at: s.now - age, wall: f.Ended, atOnce: f.AtOnce, before: t.lastFailure}
		}
	}
}

// avoids reports whether a task waits for another runner, as a run of it has failed there lately. A run that has been started there since
// then and is done shows that the runner is sound.
func (s *Scheduler) avoids(t *task, r *runner) bool {
	for f := t.lastFailure; f != nil; f = f.before {
		if f.runner == r.ID && s.now < t.avoidedUntil(f) && r.soundAt <= f.at {
			return true
		}
	}
	return false
}

// withoutAvoided returns the candidates that no member of a gang avoids.
func (s *Scheduler) withoutAvoided(st *stage, candidates []*runner) []*runner {
	if len(st.tasks[0].failedRuns) == 0 && st.tasks[0].failures == nil {
		return candidates // no run of the gang has failed
	}
	for _, t := range st.tasks {
		if t.lastFailure != nil {
			candidates = slices.DeleteFunc(candidates, func(r *runner) bool { return s.avoids(t, r) })
		}
	}
	return candidates
}

// anyAvoids reports whether a waiting task of a stage avoids a runner.
func (s *Scheduler) anyAvoids(st *stage, r *runner) bool {
	return slices.ContainsFunc(st.tasks, func(t *task) bool { return t.waiting() && s.avoids(t, r) })
}

// retryIn returns after what time no waiting task of a stage avoids a runner any more; 0 if none does.
func (s *Scheduler) retryIn(st *stage) time.Duration {
	var latest time.Duration
	for _, t := range st.tasks {
		for f := t.lastFailure; f != nil; f = f.before {
			if t.waiting() {
				latest = max(latest, t.avoidedUntil(f)-s.now)
			}
		}
	}
	return latest
}
