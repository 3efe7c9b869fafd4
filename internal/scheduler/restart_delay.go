package scheduler

import "time"

// minRestartDelay and maxRestartDelay limit how long a long-running task waits that fails again and again soon after its start. It must
// be started again within 6 s of its last run, and without a delay it would take the starts of others.
const (
	minRestartDelay = 250 * time.Millisecond
	maxRestartDelay = 4 * time.Second
)

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
	return s.now < s.restartAt(t)
}

// startableTasks returns how many waiting tasks of a stage may be started now.
func (s *Scheduler) startableTasks(st *stage) int {
	n := 0
	for _, t := range st.tasks {
		if t.waiting() && !s.startsLater(t) {
			n++
		}
	}
	return n
}

// restartIn returns after what time the next waiting task of a stage may be started again; 0 if one may be now.
func (s *Scheduler) restartIn(st *stage) time.Duration {
	soonest := maxRestartDelay
	for _, t := range st.tasks {
		if t.waiting() {
			soonest = min(soonest, max(s.restartAt(t)-s.now, 0))
		}
	}
	return soonest
}

// restartAt returns when a task may be started again; 0 if it isn't delayed.
func (s *Scheduler) restartAt(t *task) time.Duration {
	if f := t.counted().failures; f != nil {
		return f.restartAt
	}
	return 0
}

// delayRestart lets a long-running task that has failed soon after its start avoid the runner, and wait if it does so again and again.
func (s *Scheduler) delayRestart(x *run) {
	x.task.avoidRunner = x.runner.ID
	s.recordFailure(x)
	f := x.task.counted().failures
	f.atOnce++
	f.restartAt = s.now + restartDelay(f.atOnce)
}
