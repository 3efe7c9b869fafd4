package scheduler

// isSettled reports whether no run that may crash the runner is reserved or starting there.
func (s *Scheduler) isSettled(r *runner) bool {
	if r.riskyRuns == 0 {
		return true
	}
	for _, x := range r.runs {
		if x.risk != noRisk && s.isStarting(x) {
			return false
		}
	}
	return true
}

// isQuiet reports whether no run at all is reserved or starting on the runner.
func (s *Scheduler) isQuiet(r *runner) bool {
	if s.now-r.lastStartAt < isolationTime {
		return false
	}
	for _, x := range r.runs {
		if s.isStarting(x) {
			return false
		}
	}
	return true
}

// isStarting reports whether a run may still crash its runner as it starts. For a suspect, the runner has to answer a poll
// afterwards: without it, a loss that is noticed late would be that of the next suspect as well.
func (s *Scheduler) isStarting(x *run) bool {
	if x.state == runReserved || x.startConfirmedAt == 0 || s.now-x.startSentAt < isolationTime {
		return true
	}
	return x.risk == riskByTask && x.runner.aliveAt <= x.startSentAt+startupTime
}

// pollStartingSuspects requests a report from the runners on which the next suspect may be started as soon as they answer.
func (s *Scheduler) pollStartingSuspects() {
	for key, is := range s.isolations {
		if key.risk != riskByTask {
			continue
		}
		for _, r := range is.runners {
			for _, x := range r.sortedRuns(existing) {
				if due := x.startSentAt + isolationTime; x.risk == riskByTask && s.now >= due && r.aliveAt <= x.startSentAt+startupTime && r.polledAt < due {
					r.polledAt = s.now
					s.emit(PollRunner{Runner: r.ref()})
				}
			}
		}
	}
}

// admitsRisk reports whether a run may be placed on a runner, as far as runs that may crash it are concerned: the run itself, or
// others there. With anywhere, a run that is kept apart need not be placed on a runner that is set apart for it; with shared, any
// run may be placed on a runner that is set apart for others.
func (s *Scheduler) admitsRisk(r *runner, why risk, anywhere, shared bool) bool {
	switch {
	case why == noRisk:
		return (r.isolation == nil || shared) && s.isSettled(r)
	case r.isolation == nil:
		return (anywhere || shared) && s.isQuiet(r)
	case r.isolation.key.risk != why:
		return shared && s.isQuiet(r)
	}
	return (why != riskByTask || len(r.runs) == r.riskyRuns || shared) && s.isQuiet(r)
}
