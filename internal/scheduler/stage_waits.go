package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

const (
	// longWait is how long a stage waits without a start before the cause is reported, and again each time. Callers of urgent work
	// complain after seconds, so shorter waits need no cause.
	longWait = 5 * time.Second
	// waitCheckInterval is the interval at which long waits are looked for.
	waitCheckInterval = time.Second
	// maxReportedWaits bounds the reports of one check, as thousands of stages wait while the fleet is full.
	maxReportedWaits = 4
)

// StageWaiting reports that no task of a stage has started for long although some wait.
type StageWaiting struct {
	Step     job.StepID
	Tasks    int // that wait
	Waited   time.Duration
	Cause    string
	Eligible int // runners that may take its tasks, whatever else runs there
	Room     int // how many of its tasks fit on them, if nothing else ran there
	Free     int // how many fit now
	// Gang is the gang that has claimed free capacity which the stage could use, and GangStartsIn when it is expected to start.
	Gang         job.StepID
	GangStartsIn time.Duration
	// RetryIn is when a task that has failed may start, or use the same runner, again, or when a quarantine ends, if it waits for that.
	RetryIn time.Duration
}

func (StageWaiting) effect() {}

// stageWait is how long a stage has waited without a start.
type stageWait struct {
	since      time.Duration // 0: no task waits
	reportedAt time.Duration
}

// unreportedSince returns since when the stage has waited without a report.
func (w stageWait) unreportedSince() time.Duration { return max(w.since, w.reportedAt) }

// reportLongWaits reports the stages that have waited longest without a report, with the cause.
func (s *Scheduler) reportLongWaits() {
	if s.now-s.waitsCheckedAt < waitCheckInterval {
		return
	}
	s.waitsCheckedAt = s.now
	var long []*stage
	for _, st := range s.openStages {
		switch w := &st.wait; {
		case st.waitingTasks()+st.reservedCount == 0:
			*w = stageWait{}
		case w.since == 0:
			w.since = s.now
		case s.now-w.unreportedSince() >= longWait:
			long = append(long, st)
		}
	}
	slices.SortStableFunc(long, func(a, b *stage) int { return cmp.Compare(a.wait.unreportedSince(), b.wait.unreportedSince()) })
	for _, st := range long[:min(len(long), maxReportedWaits)] {
		st.wait.reportedAt = s.now
		s.emit(s.describeWait(st))
	}
}

func (s *Scheduler) describeWait(st *stage) StageWaiting {
	e := StageWaiting{Step: st.id, Tasks: st.waitingTasks() + st.reservedCount, Waited: s.now - st.wait.since}
	need, limit := st.step.Reserved(), st.maxOnRunner(len(st.tasks))
	room, runtime := stageRoom{}, s.expectedRunTime(st)
	for _, r := range s.candidates(st, s.sortedRunners()) {
		e.Eligible++
		e.Room += need.Copies(r.Capacity, limit)
		e.Free += need.Copies(r.free(), limit)
		room.later += need.Copies(s.roomLater(r, s.latePatience(st)), limit)
		if s.anyAvoids(st, r) {
			room.avoided += need.Copies(r.free(), limit)
		}
		if need.Fits(r.free()) && !s.mayPlace(st, r, s.onRunner(runtime, r)) {
			e.Gang, e.GangStartsIn = r.claimedBy.id, max(r.claimStart-s.now, 0)
		}
	}
	room.quarantined = s.quarantinedRoom(st)
	switch {
	case s.startableTasks(st) == 0 && st.reservedCount == 0:
		e.RetryIn = s.restartIn(st)
	case room.avoided > 0:
		e.RetryIn = s.retryIn(st)
	case room.quarantined > 0:
		e.RetryIn = s.quarantineEndsIn(st)
	}
	e.Cause = s.waitCause(st, e, room)
	return e
}

// stageRoom is for how many tasks of a stage there is room.
type stageRoom struct {
	later   int // once the runs with an expected end have ended
	avoided int // now, on runners that a waiting task avoids

	quarantined int // now, on runners whose health doesn't let it use them
}

// heldRunners returns the runners that a stage may use but for their health.
func (s *Scheduler) heldRunners(st *stage) []*runner {
	var out []*runner
	for _, r := range s.sortedRunners() {
		if s.feasible(st, r) && s.approved(st, r) && !s.healthAdmits(st, r) {
			out = append(out, r)
		}
	}
	return out
}

// quarantinedRoom returns for how many tasks of a stage there is room on the runners that it may use but for their health.
func (s *Scheduler) quarantinedRoom(st *stage) int {
	room := 0
	for _, r := range s.heldRunners(st) {
		room += st.step.Reserved().Copies(r.free(), st.maxOnRunner(len(st.tasks)))
	}
	return room
}

// quarantineEndsIn returns after what time the first of these quarantines ends; 0 if that runner is being probed.
func (s *Scheduler) quarantineEndsIn(st *stage) time.Duration {
	soonest := maxQuarantine
	for _, r := range s.heldRunners(st) {
		soonest = min(soonest, max(r.health.quarantinedUntil-s.now, 0))
	}
	return soonest
}

// waitCause returns the first condition that keeps the stage from starting, in the order in which a pass checks them.
func (s *Scheduler) waitCause(st *stage, e StageWaiting, room stageRoom) string {
	wanted := 1
	if st.step.Gang {
		wanted = len(st.tasks)
	}
	switch {
	case !st.job.stored:
		return "the acceptance is not stored"
	case st.job.inherited && s.awaitsInheritedRunners():
		return "a predecessor's runs may go on at a silent runner"
	case st.reservedCount > 0 && st.preemptionDeadline > 0:
		return "preempted runs have not ended"
	case st.reservedCount > 0:
		return "tickets of reserved runs are renewed"
	case !s.mayCharge(st, wanted) || s.isLimitedExcess(st):
		return "a limit of its tenant"
	case !slices.ContainsFunc(st.tasks, func(t *task) bool { return t.waiting() && t.crashIsDurable() }):
		return "the loss of a runner is not stored"
	case s.startableTasks(st) == 0:
		return "its runs fail soon after their start, so that it waits before the next one"
	case e.Room < wanted && room.quarantined > 0:
		return "the runners that it may use are in quarantine or being probed"
	case e.Room < wanted:
		return s.missingRunnersCause(st)
	case st.apart:
		return "kept apart from other tasks"
	case room.later < wanted:
		return "tasks that last, or runs that should have ended, hold the capacity"
	case e.Free < wanted:
		return "too little free capacity"
	case e.Free-room.avoided < wanted:
		return "a run has failed lately on the runners with room"
	case s.startBudget <= 0:
		return "starts are limited"
	case e.Gang != job.StepID{}:
		return "a gang has claimed the free capacity"
	}
	return "free capacity is claimed or reserved for others"
}

// missingRunnersCause returns why a stage has too few runners, whatever else runs there.
func (s *Scheduler) missingRunnersCause(st *stage) string {
	a := &st.advice
	switch {
	case st.job.queue.Advice == nil:
		return "too few runners are usable and large enough"
	case a.pending > 0:
		return "an advice call is in flight"
	case s.now < a.retryAt:
		return "an advice call has failed"
	case a.exhaustedVersion == s.fleetVersion:
		return "no further runner to query"
	case a.deferral.since > 0:
		return "no machine is free for an advice call"
	}
	return "too few runners are known to be eligible"
}
