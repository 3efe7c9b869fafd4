package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// ContactLoss says how contact with a runner was lost.
type ContactLoss struct {
	Reason     string
	Closed     bool          // the runner's process closed or refused the connection, so it has probably ended
	AliveUntil time.Duration // the process was running until then
}

// startupTime is the time after its start within which a task that can't run on a runner is assumed to crash it.
const startupTime = 40 * time.Millisecond

// RunnerUnreachable records that a call for an incarnation of a runner failed, which says nothing about another one.
func (s *Scheduler) RunnerUnreachable(ref RunnerRef, lost ContactLoss) {
	r := s.runners[ref.ID]
	if r == nil || r.ref() != ref || r.unreachable {
		return
	}
	r.unreachable = true
	s.emit(RunnerChanged{Runner: r.ID, Change: "silent", Detail: lost.Reason})
	if lost.Closed {
		s.reportLoss(r, "closed", lost.AliveUntil)
		s.recordLoss(r, lost.AliveUntil, true)
	}
}

// reportLoss reports that a runner has probably been lost with its runs.
func (s *Scheduler) reportLoss(r *runner, evidence string, aliveUntil time.Duration) {
	lost := RunnerLost{Runner: r.ID, Addr: r.Addr, Rack: r.Rack, Evidence: evidence, AliveUntil: s.now - aliveUntil}
	for _, x := range r.sortedRuns(existing) {
		lost.Runs++
		if x.startedAfter(aliveUntil - startupTime) {
			lost.Started = append(lost.Started, StartedRun{Task: x.task.id(), Run: x.number, Age: s.now - x.startSentAt})
		}
	}
	slices.SortStableFunc(lost.Started, func(a, b StartedRun) int { return cmp.Compare(a.Age, b.Age) })
	s.emit(lost)
}

// RunnerReplaced records that another runner answers at the address of a runner, so that its process and its runs have ended.
func (s *Scheduler) RunnerReplaced(ref RunnerRef) {
	r := s.runners[ref.ID]
	if r == nil || r.ref() != ref || r.replaced {
		return // also if another incarnation has answered meanwhile
	}
	r.replaced, r.unreachable, r.inherited = true, true, false
	s.emit(RunnerChanged{Runner: r.ID, Change: "replaced", Detail: r.Addr})
	if r.loss == nil {
		s.reportLoss(r, "replaced", r.aliveAt)
		s.recordLoss(r, r.aliveAt, false) // it has been silent, so that nothing is known of its last moments
	}
	s.releaseUnknown(r)
	for _, x := range r.sortedRuns(matchAnyRun) {
		s.endRun(x, "replaced", "")
	}
	s.proveLoss(r, noIncarnation)
	s.runnersChanged()
}

// existing reports whether a run may exist on its runner.
func existing(x *run) bool { return x.state != runReserved }

// startedAfter reports whether a run was started after the given time. The start of an adopted run is unknown, but before
// this owner's time.
func (x *run) startedAfter(at time.Duration) bool { return !x.adopted && x.startSentAt >= at }
