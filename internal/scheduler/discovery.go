package scheduler

import "time"

// RunnerListed adds or updates a runner from its discovery entry.
func (s *Scheduler) RunnerListed(info RunnerInfo) {
	r := s.runners[info.ID]
	if r == nil {
		r = &runner{runs: map[runKey]*run{}}
		s.runners[info.ID] = r
		s.emit(RunnerChanged{Runner: info.ID, Change: "listed", Detail: info.Service})
	}
	if r.listed && !r.Draining && info.Draining {
		s.emit(RunnerChanged{Runner: info.ID, Change: "draining"})
	}
	if r.Addr != info.Addr && r.Addr != "" {
		s.emit(RunnerChanged{Runner: info.ID, Change: "moved", Detail: info.Addr})
		r.reported, r.replaced = false, false
	}
	switch at := s.now + info.TerminatesIn; {
	case !info.Draining:
		r.terminatesAt = 0
	case info.TerminatesIn > 0 && (r.terminatesAt == 0 || at < r.terminatesAt):
		r.terminatesAt = at // an entry that is read again later must not move the end
	}
	if !r.listed || !r.RunnerInfo.Equal(info) {
		defer s.runnersChanged() // an inherited runner may have reported long before it is listed
	}
	r.RunnerInfo = info
	r.listed = true
	s.needsPass = true
	if r.inherited {
		r.leaseExpiresAt = max(r.leaseExpiresAt, s.takenOverAt+s.strayLeaseLeft(info.Incarnation))
	}
}

// clockTolerance is by how much the time of day on two machines may differ while it jumps.
const clockTolerance = 5 * time.Second

// strayLeaseLeft returns how much longer the leases of an incarnation that was born at the given Unix millisecond may last by late
// calls for the one before: from its start as long as the runner grants. A predecessor may have known of the restart, this owner doesn't.
func (s *Scheduler) strayLeaseLeft(born int64) time.Duration {
	age := time.Duration(s.wall.UnixMilli()-born) * time.Millisecond
	if age < -clockTolerance {
		return 0 // no incarnation of this time
	}
	longest := s.leaseExpiryDelay(s.cfg.MaxLease)
	return max(min(longest, longest+clockTolerance-age), 0)
}

// DiscoveryRead records that all runners in discovery have been listed, so that a runner which is not listed is gone.
func (s *Scheduler) DiscoveryRead() { s.discoveryRead = true }

// RunnerInherited adds a runner on which a predecessor may have started runs. Jobs that the predecessor may have
// started wait until the runner has reported or the lease of its runs must have expired.
func (s *Scheduler) RunnerInherited(id, addr string) {
	r := s.runners[id]
	if r == nil {
		r = &runner{RunnerInfo: RunnerInfo{ID: id, Addr: addr}, runs: map[runKey]*run{}}
		s.runners[id] = r
		s.runnersChanged()
	}
	r.inherited = true
	r.leaseExpiresAt = s.now + s.cfg.OwnerLease + s.leaseExpiryDelay(s.cfg.RunLease)
}

// RunnerDelisted records that a runner has been removed from discovery. Its runs are tracked until their end is
// confirmed.
func (s *Scheduler) RunnerDelisted(id string) {
	r := s.runners[id]
	if r == nil || !r.listed {
		return
	}
	r.listed = false
	s.emit(RunnerChanged{Runner: id, Change: "delisted"})
	s.needsPass = true
}

// RunnerCount returns the number of known runners.
func (s *Scheduler) RunnerCount() int { return len(s.runners) }

// Ref returns the reference of a runner's current incarnation.
func (s *Scheduler) Ref(id string) (ref RunnerRef, known bool) {
	r := s.runners[id]
	if r == nil {
		return RunnerRef{}, false
	}
	return r.ref(), true
}

// RunnerZone returns the availability zone of a runner; "" if it is not known.
func (s *Scheduler) RunnerZone(id string) string {
	if r := s.runners[id]; r != nil {
		return r.Zone
	}
	return ""
}

// RunnersToPoll returns the runners that have to be polled: those that are listed and those that may still have runs.
func (s *Scheduler) RunnersToPoll() []RunnerRef {
	var out []RunnerRef
	for _, r := range s.sortedRunners() {
		if r.listed || len(r.runs) > 0 || r.inherited || r.unknownRuns > 0 {
			out = append(out, r.ref())
		}
	}
	return out
}

// leaseExpiryDelay returns how long to wait until a lease of the given duration has expired on a runner whose clock may
// be slow.
func (s *Scheduler) leaseExpiryDelay(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+s.cfg.ClockDrift)) + s.cfg.LeaseExpiryMargin
}

// LeaseSent records that a message which extends the lease of all runs of a runner has been sent.
func (s *Scheduler) LeaseSent(id string) {
	if r := s.runners[id]; r != nil {
		r.leaseExpiresAt = max(r.leaseExpiresAt, s.now+s.leaseExpiryDelay(s.cfg.RunLease))
		r.leaseGeneration = r.fenceGeneration
	}
}

// expireLeases ends the runs of runners that are unreachable or have not reported, once their lease has expired. It also
// removes delisted runners without runs, once discovery has been read.
func (s *Scheduler) expireLeases() {
	for _, r := range s.sortedRunners() {
		if s.discoveryRead && !r.listed && len(r.runs) == 0 && r.unknownRuns == 0 && !r.inherited {
			delete(s.runners, r.ID)
			s.proveOthers(r.ID, noIncarnation)
			s.runnersChanged()
			continue
		}
		if !r.unreachable && r.reported || s.now < r.leaseExpiresAt {
			continue
		}
		if r.inherited || len(r.runs) > 0 || r.unknownRuns > 0 {
			s.emit(RunnerChanged{Runner: r.ID, Change: "lapsed"})
		}
		r.inherited = false
		s.releaseUnknown(r)
		if r.loss == nil && len(r.runs) > 0 {
			s.reportLoss(r, "silent", r.aliveAt)
			s.recordLoss(r, r.aliveAt, false)
		}
		for _, x := range r.sortedRuns(matchAnyRun) {
			s.endRun(x, "lapsed", "")
		}
		s.proveLoss(r, noIncarnation)
	}
}

// awaitsInheritedRunners reports whether a predecessor's runs may exist on a runner that has not reported yet.
func (s *Scheduler) awaitsInheritedRunners() bool {
	for _, r := range s.runners {
		if r.inherited {
			return true
		}
	}
	return false
}
