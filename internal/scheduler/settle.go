package scheduler

import "time"

// settleTimeout is how long a poll has to find a run whose start got no answer before the run is stopped: two polls that
// don't wait, each with its timeout.
const settleTimeout = 1200 * time.Millisecond

// SetStartBudget sets how many starts may be sent until the next call. A gang starts as a whole if any start may be sent,
// and runs with reserved capacity start in any case.
func (s *Scheduler) SetStartBudget(n int) {
	if s.startBudget <= 0 && n > 0 {
		s.needsPass = true
	}
	s.startBudget = n
}

// settle requests a poll for a run whose start got no answer while this process was overloaded. The run keeps its capacity
// and remains the only one of its task.
func (s *Scheduler) settle(x *run) {
	if x.state != runStarting {
		return
	}
	x.unsettledAt = s.now
	s.unsettled = append(s.unsettled, x)
	s.emit(PollRunner{Runner: x.runner.ref()})
}

// stopMissingUnsettled stops the unsettled runs that a report requested afterwards doesn't list. Their starts may still
// arrive, so that only a confirmed stop proves that they never run.
func (s *Scheduler) stopMissingUnsettled(r *runner, rep Report, listed, ended map[runKey]bool) {
	missing := r.sortedRuns(func(x *run) bool {
		return x.state == runStarting && x.unsettledAt > 0 && x.unsettledAt <= rep.RequestedAt && !listed[x.key()] && !ended[x.key()]
	})
	for _, x := range missing {
		s.stopUnanswered(x)
	}
}

// stopUnsettled stops the runs that no poll has found in time.
func (s *Scheduler) stopUnsettled() {
	keep := s.unsettled[:0]
	for _, x := range s.unsettled {
		switch {
		case x.state != runStarting || x.runner.runs[x.key()] != x:
		case s.now-x.unsettledAt < settleTimeout:
			keep = append(keep, x)
		default:
			s.stopUnanswered(x)
		}
	}
	clear(s.unsettled[len(keep):])
	s.unsettled = keep
}

// stopUnanswered stops a run that may exist or start later.
func (s *Scheduler) stopUnanswered(x *run) {
	s.stop(x, "the start got no answer")
	s.allowCopy(x)
}
