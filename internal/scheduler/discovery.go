package scheduler

import "time"

// RunnerListed tells what discovery says of a runner.
func (s *Scheduler) RunnerListed(info RunnerInfo) {
	r := s.runners[info.ID]
	if r == nil {
		r = &runner{runs: map[runKey]*run{}}
		s.runners[info.ID] = r
		defer s.fleetChanged()
		s.emit(RunnerChanged{Runner: info.ID, Change: "listed", Detail: info.Service})
	}
	if r.listed && !r.Draining && info.Draining {
		s.emit(RunnerChanged{Runner: info.ID, Change: "draining"})
	}
	if r.Addr != info.Addr && r.Addr != "" {
		s.emit(RunnerChanged{Runner: info.ID, Change: "moved", Detail: info.Addr})
		r.reached = false
	}
	if !info.Draining {
		r.leavesAt = 0
	} else if info.TerminatesIn > 0 {
		r.leavesAt = s.now + info.TerminatesIn
	}
	r.RunnerInfo = info
	r.listed = true
	s.needsPass = true
}

// RunnerInherited tells that a predecessor may have started runs on a runner. Work that it may have started waits
// until the runner has reported or its runs must have lapsed.
func (s *Scheduler) RunnerInherited(id, addr string) {
	r := s.runners[id]
	if r == nil {
		r = &runner{RunnerInfo: RunnerInfo{ID: id, Addr: addr}, runs: map[runKey]*run{}}
		s.runners[id] = r
		s.fleetChanged()
	}
	r.inherited = true
	r.lapseBy = s.now + s.cfg.OwnerLease + s.lapseAfter(s.cfg.RunLease)
}

// RunnerDelisted tells that discovery no longer names a runner. What runs there goes on until its end is certain.
func (s *Scheduler) RunnerDelisted(id string) {
	r := s.runners[id]
	if r == nil || !r.listed {
		return
	}
	r.listed = false
	s.emit(RunnerChanged{Runner: id, Change: "delisted"})
	s.needsPass = true
}

// RunnersToPoll returns the runners that have to be looked at: those listed and those that may still run something.
func (s *Scheduler) RunnersToPoll() []RunnerRef {
	var out []RunnerRef
	for _, r := range s.sortedRunners() {
		if r.listed || len(r.runs) > 0 || r.inherited || r.foreign > 0 {
			out = append(out, r.ref())
		}
	}
	return out
}

// lapseAfter returns how long to wait until a lease of the given length is over on a runner whose clock may be slow.
func (s *Scheduler) lapseAfter(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+s.cfg.ClockDrift)) + s.cfg.LeaseExpiryMargin
}

// LeaseSent notes that an order extends the lease of all runs of a runner.
func (s *Scheduler) LeaseSent(id string) {
	if r := s.runners[id]; r != nil {
		r.lapseBy = max(r.lapseBy, s.now+s.lapseAfter(s.cfg.RunLease))
	}
}

// lapseRunners ends the runs of runners that have heard nothing for longer than their lease.
func (s *Scheduler) lapseRunners() {
	for _, r := range s.sortedRunners() {
		if !r.listed && len(r.runs) == 0 && r.foreign == 0 && !r.inherited {
			delete(s.runners, r.ID)
			s.fleetChanged()
			continue
		}
		if !r.failing && r.reached || s.now < r.lapseBy {
			continue
		}
		if r.inherited || len(r.runs) > 0 || r.foreign > 0 {
			s.emit(RunnerChanged{Runner: r.ID, Change: "lapsed"})
		}
		r.inherited = false
		r.foreign = 0
		for _, x := range r.sortedRuns(anyRun) {
			s.endRun(x, "lapsed", "")
		}
	}
}

// mayRunUnknown reports whether a predecessor's runs may exist on a runner that hasn't reported yet.
func (s *Scheduler) mayRunUnknown() bool {
	for _, r := range s.runners {
		if r.inherited {
			return true
		}
	}
	return false
}
