package scheduler

import "time"

// evacuationMargin is the time for a stop and its report before a runner terminates.
const evacuationMargin = 400 * time.Millisecond

// evacuateRuns stops runs that won't end before their runner terminates, so that they restart elsewhere. A run that
// saves checkpoints is stopped as late as possible, as it loses no work. Any other run loses all of its work and is
// stopped at once.
func (s *Scheduler) evacuateRuns() {
	for _, r := range s.sortedRunners() {
		if r.terminatesAt == 0 || r.unreachable {
			continue
		}
		for _, x := range r.sortedRuns(s.mustEvacuate) {
			s.stop(x, "the runner terminates")
		}
	}
}

func (s *Scheduler) mustEvacuate(x *run) bool {
	if x.state != runRunning {
		return false
	}
	st, deadline := x.task.stage, x.runner.terminatesAt
	if s.now >= deadline-evacuationMargin-s.cfg.StopTimeout {
		return s.now < deadline // later, the runner ends the run itself
	}
	if st.step.Checkpoints {
		return false
	}
	return st.step.LongRunning || !x.resumed && s.expectedEnd(x) > deadline+evacuationMargin
}
