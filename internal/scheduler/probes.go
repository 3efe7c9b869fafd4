package scheduler

import "time"

// earlyProbeAfter is how long a quarantine keeps work that hasn't failed from a runner if it lacks others: work that has room must not wait
// for 3 s.
const earlyProbeAfter = 2 * time.Second

// admission is how the health of a runner lets work use it.
type admission int

const (
	notAdmitted admission = iota
	admitted              // the runner is sound as far as is known, or the run probes it
	besideProbe           // the runner is accused, and the run says nothing about it if it fails
)

// runnerSet identifies the runners that a stage may use, whatever their state.
type runnerSet struct {
	service, label string
}

// isMostlyAccused reports whether more than half of the usable runners of a set are accused.
func (s *Scheduler) isMostlyAccused(set runnerSet) bool {
	accused, known := s.mostlyAccused[set]
	if !known {
		var count accusedCount
		for _, r := range s.byFreeCores {
			if r.Service == set.service && r.hasLabel(set.label) {
				count.add(r)
			}
		}
		accused = count.isMost()
		s.mostlyAccused[set] = accused
	}
	return accused
}

// accusedCount counts runners, and those of them that are in quarantine, or probed, for runs that have failed.
type accusedCount struct {
	all, accused int
}

func (c *accusedCount) add(r *runner) {
	c.all++
	if r.health.isAccused() {
		c.accused++
	}
}

// isMost reports whether more than half are accused, and at least two. The jobs are more likely to be at fault then than so many
// runners, and what is accepted has to run somewhere.
func (c *accusedCount) isMost() bool { return c.accused > 1 && 2*c.accused > c.all }

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
	var large accusedCount // the runners that are large enough; the whole set may have others
	for _, r := range s.byFreeCores {
		if !s.feasible(st, r) || st.job.queue.Advice != nil && st.advice.queried.has(r.slot) && !s.approved(st, r) {
			continue
		}
		if need.Fits(r.Capacity) {
			large.add(r)
		}
		fits := need.Fits(r.free()) && (st.step.MaxPerRunner == 0 || st.runsOn(r) < st.step.MaxPerRunner)
		if r.health.admits(s.now) && (fits || !s.mostlyFree) {
			return
		}
		held = held || fits && r.health.probing
	}
	st.lacksSound, st.mostlyAccused = held, held && large.isMost()
}

// admission returns how the health of a runner lets work of a stage use it. Work that hasn't failed since its last success probes runners
// first, and during their quarantine if it lacks others. If most runners are accused they are used beside the probes, and by lasting work
// also if the others have no room: a task avoids those where it has failed, and a last attempt isn't risked.
func (s *Scheduler) admission(st *stage, r *runner, failed, last bool) admission {
	h := &r.health
	switch {
	case !h.probing:
		return admitted
	case h.admits(s.now) && (!failed || s.now-h.quarantinedUntil >= soundProbeTime):
		return admitted
	case !failed && st.lacksSound && h.admitsEarly(s.now):
		return admitted
	case last || !h.byFailures:
		return notAdmitted
	case st.mostlyAccused, st.lacksSound && failed && st.step.LongRunning:
		return besideProbe
	}
	return notAdmitted
}

// admissionOf returns how the health of a runner lets a task, or the gang of which it is a member, use it.
func (s *Scheduler) admissionOf(t *task, r *runner) admission {
	return s.admission(t.stage, r, t.hasFailed(), t.mustNotFail())
}

// healthAdmits reports whether the health of a runner lets any task of a stage use it.
func (s *Scheduler) healthAdmits(st *stage, r *runner) bool {
	if s.admission(st, r, st.failures.any, false) != notAdmitted {
		return true
	}
	return !st.failures.any && s.admission(st, r, true, false) != notAdmitted // for those of its tasks that have failed
}

// settleProbes ends the accusations against the runners whose probe has worked for long enough.
func (s *Scheduler) settleProbes(runners []*runner) {
	for _, r := range runners {
		if r.health.probeWorks(s.now) {
			s.foundSound(r.health.probe)
		}
	}
}
