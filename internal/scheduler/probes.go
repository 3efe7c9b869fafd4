package scheduler

// updateEarlyProbes decides whether a stage may probe runners before their quarantine ends: the runners that admit runs have no room
// for it, although at least half of the cores are free. A quarantine must not keep accepted work from all runners.
func (s *Scheduler) updateEarlyProbes(st *stage) {
	st.probesEarly = false
	if !s.anyQuarantined || st.failures.any {
		return
	}
	need, held := st.step.Reserved(), false
	for _, r := range s.byFreeCores {
		if !s.feasible(st, r) || st.job.queue.Advice != nil && st.advice.queried.has(r.slot) && !s.approved(st, r) {
			continue
		}
		fits := need.Fits(r.free()) && (st.step.MaxPerRunner == 0 || st.runsOn(r) < st.step.MaxPerRunner)
		if r.health.admits(s.now) && (fits || !s.mostlyFree) {
			return
		}
		held = held || fits && s.now < r.health.quarantinedUntil
	}
	st.probesEarly = held
}

// healthAdmits reports whether the health of a runner lets a stage use it.
func (s *Scheduler) healthAdmits(st *stage, r *runner) bool {
	h := &r.health
	if h.probeWorks(s.now) {
		s.foundSound(r, h.probe.startSentAt)
	}
	if !h.admits(s.now) {
		return st.probesEarly && h.admitsEarly(s.now)
	}
	return !h.probing || !st.failures.any || s.now-h.quarantinedUntil >= soundProbeTime
}
