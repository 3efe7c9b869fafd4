package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// Report is a runner's report of its runs.
type Report struct {
	Runner      string
	Addr        string
	Incarnation int64
	Clock       int64         // the runner's own clock in milliseconds, which orders its reports
	RequestedAt time.Duration // when the report was requested
	// FenceGeneration is that of the request. With a request, the runner begins to refuse those of lower generations.
	FenceGeneration int
	Bare            bool // the request carried neither its lease nor its acknowledgement
	Running         []RunningRun
	Ended           []EndedRun
}

// runKeys returns the keys of the runs that the report lists as running or ended.
func (rep *Report) runKeys() map[runKey]bool {
	out := make(map[runKey]bool, len(rep.Running)+len(rep.Ended))
	for _, row := range rep.Running {
		out[runKey{row.Task, row.Run}] = true
	}
	for _, end := range rep.Ended {
		out[runKey{end.Task, end.Run}] = true
	}
	return out
}

// RunningRun is a run that exists on a runner.
type RunningRun struct {
	Task       job.TaskID
	Run        int
	Checkpoint string // last checkpoint
	Usage      int    // CPU usage over the last half second in millicores; -1 if not reported
}

// EndedRun is a run that has ended. A runner reports it until the end is acknowledged.
type EndedRun struct {
	Seq        int64 // sequence number of the end within one incarnation of the runner
	Task       job.TaskID
	Run        int
	Outcome    string
	Checkpoint string
}

// Outcomes that runners report. The scheduler itself also ends runs, with these or other outcomes.
const (
	EndDone           = "done"
	EndFailed         = "failed"
	EndStopped        = "stopped"
	EndLeaseExpired   = "lapsed"
	EndGangBroken     = "broken" // another member of the gang has ended
	EndGangIncomplete = "alone"  // other members of the gang were not started
)

// Report processes a runner's report. It returns true if the report shows that the runner has started again and the fence of the
// calls to it has to be raised: the new incarnation may carry out calls for the one before until it has got one with a higher fence.
func (s *Scheduler) Report(rep Report) (raiseFence bool) {
	r := s.runners[rep.Runner]
	if r == nil || r.Addr != rep.Addr {
		return false // unknown runner, or a report from another address
	}
	if r.incarnation != rep.Incarnation {
		if !r.endedBefore(rep) {
			s.emit(RunnerChanged{Runner: r.ID, Change: "report out of order", Detail: fmt.Sprintf("born %d, known is %d", rep.Incarnation, r.incarnation)})
			return false // it may be a late one of an earlier incarnation, which the next one can't be
		}
		s.newIncarnation(r, rep)
		raiseFence = r.mayHaveStrays && r.fenceGeneration <= r.strayGeneration
	}
	r.reportedAt = s.now
	s.countStrayLeases(r, rep)
	if r.loss != nil || len(s.crashes.unproved[incarnationKey{r.ID, r.incarnation}]) > 0 {
		s.takeBackLoss(r)
	}
	r.replaced, r.aliveAt = false, max(r.aliveAt, rep.RequestedAt)
	if r.unreachable {
		s.emit(RunnerChanged{Runner: r.ID, Change: "answers again"})
		s.runnersChanged()
	}
	r.unreachable = false
	if rep.Clock < r.lastClock {
		return raiseFence // a later report, which includes all of this one, has already been processed
	}
	r.lastClock = rep.Clock
	endedKeys := s.handleEnds(r, rep.Ended)
	s.reconcileRunning(r, rep, endedKeys)
	if !r.reported {
		r.reported = true
		s.runnersChanged()
		s.emit(RunnerChanged{Runner: r.ID, Change: "reached"})
	}
	r.inherited = false
	s.needsPass = true
	return raiseFence
}

// countStrayLeases takes into account that calls for an earlier incarnation, which were carried out late, have extended the lease of
// the present one. Their leases are by another clock, so that each may be as long as the runner grants. The report shows that the
// incarnation refuses such calls from now on if it was requested with a higher fence.
func (s *Scheduler) countStrayLeases(r *runner, rep Report) {
	if !r.mayHaveStrays {
		return
	}
	r.leaseExpiresAt = max(r.leaseExpiresAt, s.now+s.leaseExpiryDelay(s.cfg.MaxLease))
	r.mayHaveStrays = rep.FenceGeneration <= r.strayGeneration
}

// FenceRaised records that the calls for a runner that are sent from now on have a higher fence than all before.
func (s *Scheduler) FenceRaised(id string) {
	if r := s.runners[id]; r != nil {
		r.fenceGeneration++
	}
}

// FenceGeneration returns how many times the fence of the calls to a runner has been raised.
func (s *Scheduler) FenceGeneration(id string) int {
	if r := s.runners[id]; r != nil {
		return r.fenceGeneration
	}
	return 0
}

// endedBefore reports whether the current incarnation must have ended before the one that sent the report was started: it had
// answered before the report was requested. Incarnations can't be ordered by the time of day at which they started, which may jump.
func (r *runner) endedBefore(rep Report) bool {
	return r.incarnation == 0 || rep.RequestedAt >= r.reportedAt
}

// newIncarnation resets what is known of a runner when it reports a new incarnation, also with its first report. After a
// restart no earlier run exists there, but an unanswered start request may still arrive.
func (s *Scheduler) newIncarnation(r *runner, rep Report) {
	first, former := r.incarnation == 0, r.incarnation
	if !first && r.loss == nil {
		s.reportLoss(r, "restarted", r.aliveAt)
		s.recordLoss(r, r.aliveAt, false)
	}
	s.runnersChanged()
	r.incarnation = rep.Incarnation
	s.assignSlot(r)
	r.mayHaveStrays, r.strayGeneration = !first, r.leaseGeneration
	if r.inherited && first { // the predecessor may have known the incarnation before
		r.leaseExpiresAt = max(r.leaseExpiresAt, s.now+s.strayLeaseLeft(rep.Incarnation))
	}
	r.lastEndSeq = 0
	r.lastClock = 0
	r.unacknowledged = nil
	s.releaseUnknown(r)
	r.health = runnerHealth{}
	r.speed = runnerSpeed{}
	r.sample.restarted()
	if first {
		s.proveOthers(r.ID, r.incarnation) // a predecessor may have recorded crashes of earlier ones
		return
	}
	s.emit(RunnerChanged{Runner: r.ID, Change: "restarted", Detail: fmt.Sprintf("born %d, before %d, leases may last %s", r.incarnation, former, s.leaseExpiryDelay(s.cfg.MaxLease))})
	present := rep.runKeys()
	for _, x := range r.sortedRuns(matchAnyRun) {
		if present[x.key()] {
			continue // the start reached the new incarnation
		}
		if x.state == runReserved || x.startConfirmedAt > 0 {
			s.endRun(x, "restarted", "")
			continue
		}
		s.stop(x, "runner restarted before it answered the start")
		x.stopConfirmedAt, x.stopSentAt = 0, 0 // the new incarnation has to refuse the start as well
	}
	s.proveLoss(r, r.incarnation)
}

// handleEnds processes the ends that are new and returns the runs that the report lists as ended.
func (s *Scheduler) handleEnds(r *runner, ended []EndedRun) map[runKey]bool {
	endedKeys := make(map[runKey]bool, len(ended))
	for _, end := range ended {
		key := runKey{end.Task, end.Run}
		endedKeys[key] = true
		if end.Seq <= r.lastEndSeq {
			continue
		}
		r.lastEndSeq = end.Seq
		s.handleEnd(r, key, end)
	}
	return endedKeys
}

func (s *Scheduler) handleEnd(r *runner, key runKey, end EndedRun) {
	x := r.runs[key]
	if x == nil {
		x = s.adopt(r, key) // started by a predecessor, or already ended here, such as when its lease expired
	}
	if x == nil {
		return
	}
	x.confirmStart(s.now)
	j := x.task.stage.job
	before := j.version
	s.endRun(x, end.Outcome, end.Checkpoint)
	if j.version != before || j.durable < j.version && (end.Outcome == EndDone || end.Outcome == EndFailed) {
		r.unacknowledged = append(r.unacknowledged, unacknowledgedEnd{seq: end.Seq, job: j, version: j.version})
	}
}

// reconcileRunning updates the runs that the report lists as running, adopts or stops those that the scheduler doesn't
// know, and ends the confirmed runs that the report should list but doesn't.
func (s *Scheduler) reconcileRunning(r *runner, rep Report, ended map[runKey]bool) {
	listed := make(map[runKey]bool, len(rep.Running))
	hadUnknown := r.unknownRuns > 0
	s.releaseUnknown(r)
	for _, row := range rep.Running {
		key := runKey{row.Task, row.Run}
		listed[key] = true
		x := r.runs[key]
		if x == nil {
			x = s.adoptRunning(r, key)
		}
		if x == nil {
			s.chargeUnknown(r, key)
			s.emit(StopRun{Runner: r.ref(), Task: key.task, Run: key.run, Reason: "not a run of an active job"})
			continue
		}
		s.updateRunning(x, row)
	}
	if hadUnknown && r.unknownRuns == 0 {
		s.runnersChanged() // it is usable again
	}
	s.stopMissingUnsettled(r, rep, listed, ended)
	missing := r.sortedRuns(func(x *run) bool {
		return x.confirmedAt() > 0 && x.confirmedAt() < rep.RequestedAt && !listed[x.key()] && !ended[x.key()]
	})
	for _, x := range missing {
		s.endRun(x, "gone", "") // confirmed before the report was requested, and not listed in it
	}
}

func (s *Scheduler) updateRunning(x *run, row RunningRun) {
	if x.state == runStarting {
		x.state = runRunning
	}
	x.confirmStart(s.now)
	if row.Checkpoint != "" {
		x.task.checkpoint = row.Checkpoint
	}
	if x.task.stage.step.LongRunning { // it never completes
		if s.now-x.startSentAt > probeDuration {
			s.hasWorked(x)
			if h := &x.runner.health; h.probing && x.startSentAt > h.quarantinedAt {
				s.foundSound(x)
			}
		}
		if s.now-x.startSentAt > survivalTime {
			s.clearSuspect(x.task)
		}
	}
	s.checkProgress(x, row.Usage)
}

// adopt accounts for a run that the scheduler doesn't know, usually one that a predecessor has started. It returns nil if
// no active job has the run's task.
func (s *Scheduler) adopt(r *runner, key runKey) *run {
	j := s.jobs[key.task.Job]
	if j == nil || j.finalState != "" || key.task.Step >= len(j.spec.Steps) || key.task.Occurrence >= j.spec.OccurrenceCount() {
		return nil
	}
	st := s.stageOf(j, key.task.Occurrence, key.task.Step)
	if key.task.Index >= len(st.tasks) {
		return nil
	}
	t := st.tasks[key.task.Index]
	t.lastRun = max(t.lastRun, key.run)
	x := &run{task: t, number: key.run, runner: r, reserved: st.step.Reserved(), state: runRunning, startSentAt: s.now, startConfirmedAt: s.now, resumed: true, adopted: true}
	s.charge(x)
	j.started = true
	s.excessLeft(j)
	if t.current == nil && !t.done {
		t.current = x
	}
	return x
}

func (s *Scheduler) adoptRunning(r *runner, key runKey) *run {
	x := s.adopt(r, key)
	if x == nil {
		return nil
	}
	s.inheritedFound(x.task)
	if x.task.current != x {
		s.stop(x, "another run of the task is current")
	}
	return x
}

// sortedRuns returns the matching runs in a fixed order, which makes decisions reproducible.
func (r *runner) sortedRuns(match func(*run) bool) []*run {
	var out []*run
	for _, x := range r.runs {
		if match(x) {
			out = append(out, x)
		}
	}
	if len(out) > 1 {
		slices.SortFunc(out, compareRuns)
	}
	return out
}

func compareRuns(x, y *run) int {
	a, b := x.task, y.task
	return cmp.Or(
		strings.Compare(a.stage.id.Job, b.stage.id.Job),
		cmp.Compare(a.stage.id.Occurrence, b.stage.id.Occurrence),
		cmp.Compare(a.stage.id.Step, b.stage.id.Step),
		cmp.Compare(a.index, b.index),
		cmp.Compare(x.number, y.number),
	)
}

func matchAnyRun(*run) bool { return true }
