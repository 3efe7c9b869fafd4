package scheduler

import "time"

// evacuationMargin is the time, in addition to the stop itself, for a stop request and the report of the run's end before
// a runner terminates.
const evacuationMargin = 400 * time.Millisecond

// evacuateRuns stops runs that aren't expected to end before their runner terminates, so that they restart elsewhere. A
// run that saves checkpoints loses no work and is stopped as late as possible. Any other run loses all of its work and is
// stopped at once, unless it is an adopted one, whose start time is unknown. All runs that are left are stopped as late
// as possible.
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
