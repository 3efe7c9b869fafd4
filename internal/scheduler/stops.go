package scheduler

import "github.com/agateyard/agateyard/internal/job"

// stop ends a run. A reserved run is released at once; for any other, a stop request is sent and the resources stay
// reserved until the end is confirmed.
func (s *Scheduler) stop(x *run, reason string) {
	if x.state == runReserved {
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
	x.stopSentAt = s.now
	s.emit(StopRun{Runner: x.runner.ref(), Task: x.task.id(), Run: x.number, Reason: x.reason})
}

// resendStops sends unanswered stop requests again.
func (s *Scheduler) resendStops() {
	for _, r := range s.sortedRunners() {
		if r.unreachable {
			continue
		}
		for _, x := range r.sortedRuns(s.stopResendDue) {
			s.sendStop(x)
		}
	}
}

func (s *Scheduler) stopResendDue(x *run) bool {
	return x.state == runStopping && x.stopConfirmedAt == 0 && s.now-x.stopSentAt >= stopRetryInterval
}

// StopAnswered processes the confirmation of a stop by the incarnation of a runner that was asked: the run will end, or be refused
// if its start arrives later. Another incarnation knows nothing of it.
func (s *Scheduler) StopAnswered(by RunnerRef, task job.TaskID, number int) {
	r := s.runners[by.ID]
	if r == nil || r.incarnation != by.Incarnation {
		return
	}
	x := r.runs[runKey{task, number}]
	if x == nil || x.state != runStopping {
		return
	}
	if x.stopConfirmedAt > 0 {
		return
	}
	x.stopConfirmedAt = s.now
	if x.startConfirmedAt == 0 {
		s.emit(PollRunner{Runner: r.ref()}) // the run may never have started, in which case no end is reported
	}
}
