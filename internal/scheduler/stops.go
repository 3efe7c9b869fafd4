package scheduler

import "github.com/agateyard/agateyard/internal/job"

// stop orders the end of a run. Its room stays charged until the end is certain.
func (s *Scheduler) stop(x *run, reason string) {
	if x.state == runHeld {
		s.endRun(x, "released", "")
		return
	}
	if x.state == runStopping {
		return
	}
	x.state = runStopping
	x.reason = reason
	s.sendStop(x)
}

func (s *Scheduler) sendStop(x *run) {
	x.stopSent = s.now
	s.emit(StopRun{Runner: x.runner.ref(), Task: x.task.id(), Run: x.number, Reason: x.reason})
}

// repeatStops sends stops again that got no answer.
func (s *Scheduler) repeatStops() {
	for _, r := range s.sortedRunners() {
		if r.failing {
			continue
		}
		for _, x := range r.sortedRuns(s.stopIsDue) {
			s.sendStop(x)
		}
	}
}

func (s *Scheduler) stopIsDue(x *run) bool {
	return x.state == runStopping && x.stopped == 0 && s.now-x.stopSent >= stopRetry
}

// StopAnswered tells that a runner has confirmed a stop: the run ends, or is refused if it arrives later.
func (s *Scheduler) StopAnswered(runnerID string, task job.TaskID, number int) {
	r := s.runners[runnerID]
	if r == nil {
		return
	}
	x := r.runs[runKey{task, number}]
	if x == nil || x.state != runStopping {
		return
	}
	if x.stopped > 0 {
		return
	}
	x.stopped = s.now
	if x.arrived == 0 {
		s.emit(PollRunner{Runner: r.ref()}) // nothing may have run, so that no end will tell
	}
}
