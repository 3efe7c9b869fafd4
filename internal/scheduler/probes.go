package scheduler

import "time"

// earlyProbeAfter is how long a quarantine keeps work that hasn't failed from a runner if it lacks others: work that has room must not wait
// for 3 s.
const earlyProbeAfter = 2 * time.Second

// runnerSet identifies the runners that a stage may use, whatever their state.
type runnerSet struct {
	service, label string
}

// isMostlyAccused reports whether more than half of the usable runners of a set, and at least two, are in quarantine, or probed, for runs
// that have failed. The jobs are more likely to be at fault then than so many runners, and what is accepted has to run somewhere.
func (s *Scheduler) isMostlyAccused(set runnerSet) bool {
	accused, known := s.mostlyAccused[set]
	if !known {
		total, n := 0, 0
		for _, r := range s.byFreeCores {
			if r.Service == set.service && r.hasLabel(set.label) {
				total++
				if r.health.probing && r.health.byFailures {
					n++
				}
			}
		}
		accused = n > 1 && 2*n > total
		s.mostlyAccused[set] = accused
	}
	return accused
}

// updateLacksSound decides whether a stage lacks runners that aren't accused: most are, or the others have no room for it although at
// least half of the cores are free. A quarantine must not keep accepted work from running.
func (s *Scheduler) updateLacksSound(st *stage) {
	st.lacksSound, st.mostlyAccused = false, false
	if !s.anyProbing {
		return
	}
	if s.isMostlyAccused(runnerSet{st.job.queue.Service, st.step.RequiredLabel}) {
		st.lacksSound, st.mostlyAccused = true, true
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
		held = held || fits && r.health.probing
	}
	st.lacksSound = held
}

// healthAdmits reports whether the health of a runner lets a stage use it. Work that hasn't failed probes runners first, and during their
// quarantine if it lacks others. Work that has failed uses accused runners at any time if most are accused, or if it lacks others and has
// no attempts to lose: it avoids those where it has failed, and its runs say nothing about them.
func (s *Scheduler) healthAdmits(st *stage, r *runner) bool {
	h := &r.health
	if h.probeWorks(s.now) {
		s.foundSound(r, h.probe.startSentAt)
	}
	switch {
	case h.admits(s.now) && !s.isBesideProbe(st, r):
		return true
	case !st.lacksSound:
		return false
	case st.failures.any:
		return h.byFailures && (st.mostlyAccused || st.step.LongRunning)
	default:
		return h.admitsEarly(s.now)
	}
}

// isBesideProbe reports whether a run of a stage on a runner would be no probe: the runner is in quarantine or has one, or the probe
// is kept for work that hasn't failed.
func (s *Scheduler) isBesideProbe(st *stage, r *runner) bool {
	h := &r.health
	return h.probing && st.failures.any && (!h.admits(s.now) || s.now-h.quarantinedUntil < soundProbeTime)
}
