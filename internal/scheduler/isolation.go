package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/blame"
)

// risk is the reason for which a task is kept apart from others.
type risk int

const (
	noRisk      risk = iota
	riskByQueue      // the queue starts tasks that crash runners
	riskByTask       // the task is a suspect
)

const (
	// isolationTime is how long no other run is started on a runner after one that may crash it: startupTime, and the time until
	// the loss is noticed.
	isolationTime = startupTime + 20*time.Millisecond
	// minIsolationFleet is the number of runners below which none is set apart: the others would have too few left.
	minIsolationFleet = 4
	// isolationIdle is how long a runner without a run that may crash it stays set apart.
	isolationIdle = 2 * time.Second
	// isolationDowntime is how long a lost runner that was set apart counts as one, unless another one answers at its address
	// before.
	isolationDowntime = 4 * time.Second
	// tickSlack is how much later than due a pass over all stages may come.
	tickSlack = 400 * time.Millisecond
	// maxIsolationWait is how long a task waits for a runner that is set apart and that it may use. Then it may use others.
	maxIsolationWait = 3 * time.Second
)

// isolationShares: of n runners of a service, at most one in so many is set apart for a kind of risk, or has been lost lately
// while it was. It bounds how many runners such tasks may take down at the same time. Suspects get few, as most of them
// will crash their runner again. While half of the cores are free, idleIsolationShare applies.
var isolationShares = map[risk]int{riskByQueue: 4, riskByTask: 12}

const idleIsolationShare = 4

const (
	// shortIsolationShare replaces the share for harmful queues while more than shortageUsage of the cores that other work may use
	// are in use.
	shortIsolationShare = 8
	shortageUsage       = 0.9
)

// isolationReserve is how many times the cores that the tasks of harmful queues need are set apart for them: with more runners,
// fewer runs are lost with each.
const isolationReserve = 1.5

// isolationKey identifies the runners of a service that are set apart for a kind of risk.
type isolationKey struct {
	service string
	risk    risk
}

// isolation holds the runners of a service that are set apart for tasks that may crash them.
type isolation struct {
	key         isolationKey
	runners     []*runner
	lostAt      map[string]time.Duration // when runners that were set apart were lost, by identifier
	limit       int                      // how many may be set apart, or have been lost lately while they were; 0: the service has too few
	pausedUntil time.Duration            // until when no run of others is started there
	wanted      int                      // how many are of use, and can be spared by other work
	capacity    int64                    // of limit runners, in millicores
}

// riskOf returns why a task has to be kept apart from others.
func (s *Scheduler) riskOf(t *task) risk {
	switch {
	case t.verdict() != blame.Unsuspected:
		return riskByTask
	case s.crashes.harmful[t.stage.job.spec.Queue]:
		return riskByQueue
	}
	return noRisk
}

// isKeptApart reports whether the stage has waiting tasks that may crash their runner.
func (s *Scheduler) isKeptApart(st *stage) bool {
	return s.crashes.known() && slices.ContainsFunc(st.tasks, func(t *task) bool { return t.waiting() && s.riskOf(t) != noRisk })
}

// isolationFor returns the isolation of a service for a kind of risk.
func (s *Scheduler) isolationFor(service string, why risk) *isolation {
	key := isolationKey{service, why}
	is := s.isolations[key]
	if is == nil {
		is = &isolation{key: key, lostAt: map[string]time.Duration{}}
		s.isolations[key] = is
	}
	return is
}

// room returns how many more runners may be set apart.
func (is *isolation) room() int {
	return max(min(is.limit-len(is.lostAt), is.wanted)-len(is.runners), 0)
}

// setApart reserves a runner for tasks that may crash it, if the limit allows one more.
func (s *Scheduler) setApart(r *runner, why risk) {
	is := s.isolationFor(r.Service, why)
	if r.isolation != nil || is.room() == 0 {
		return
	}
	r.isolation, r.riskyAt = is, s.now
	is.runners = append(is.runners, r)
	detail := "for tasks that have crashed runners"
	if why == riskByQueue {
		detail = "for a queue whose tasks crash runners"
	}
	s.emit(RunnerChanged{Runner: r.ID, Change: "set apart", Detail: detail})
}

// endIsolation makes a runner that was set apart available to all tasks again.
func (s *Scheduler) endIsolation(r *runner) {
	is := r.isolation
	r.isolation = nil
	s.runnersChanged() // stages that had no runner left to query may query this one
	is.runners = slices.DeleteFunc(is.runners, func(other *runner) bool { return other == r })
}

// isolatedLost records that a runner which was set apart has been lost.
func (s *Scheduler) isolatedLost(r *runner) {
	if is := r.isolation; is != nil {
		s.endIsolation(r)
		is.lostAt[r.ID] = s.now
	}
}

// updateHarmful updates which queues are kept apart: those whose new tasks are likely to crash runners, unless they use so many
// cores that keeping them apart would cost the others more than their crashes do.
func (s *Scheduler) updateHarmful() {
	s.crashes.harmful = s.crashes.queues.Harmful(s.now)
	for queue := range s.crashes.harmful {
		kept, known := s.crashes.kept[queue]
		if !known || s.now-kept.at > keptMemory {
			kept.apart = s.canKeepApart(queue)
		}
		kept.at = s.now
		s.crashes.kept[queue] = kept
		s.crashes.harmful[queue] = kept.apart
	}
}

// keptMemory is how long the decision to keep a queue apart is remembered. While jobs that had to wait are made up for, the
// queue uses more cores than usual.
const keptMemory = time.Minute

// keptQueue is whether a harmful queue is kept apart.
type keptQueue struct {
	apart bool
	at    time.Duration // when it was last harmful
}

// canKeepApart reports whether the running tasks of a queue, with the reserve for them, need at most the cores that may be set
// apart for harmful queues.
func (s *Scheduler) canKeepApart(queue string) bool {
	q := s.queues[queue]
	var used, capacity int64
	for _, r := range s.runners {
		if r.Service != q.Service || !r.listed {
			continue
		}
		capacity += r.Capacity.CoresMilli
		for _, x := range r.runs {
			if x.task.stage.job.spec.Queue == queue {
				used += x.reserved.CoresMilli
			}
		}
	}
	return isolationReserve*float64(used)*float64(isolationShares[riskByQueue]) <= float64(capacity)
}

// updateIsolation ends the isolation of runners without tasks that may crash them, and updates the limits.
func (s *Scheduler) updateIsolation() {
	s.updateHarmful()
	if !s.crashes.known() && len(s.isolations) == 0 {
		return
	}
	runners, cores := map[string]int{}, map[string]int64{}
	for _, r := range s.runners {
		if r.listed {
			runners[r.Service]++
			cores[r.Service] += r.Capacity.CoresMilli
		}
	}
	for service, n := range runners {
		for why, share := range isolationShares {
			if s.mostlyFree {
				share = min(share, idleIsolationShare)
			}
			is := s.isolationFor(service, why)
			is.limit = 0
			if n >= minIsolationFleet {
				is.limit = (n + share - 1) / share
			}
			meanCores := max(cores[service]/int64(n), 1)
			is.capacity = meanCores * int64(is.limit)
			is.wanted = is.suspectsWaiting(s.openStages)
			if why == riskByQueue {
				is.wanted = 1 + int(isolationReserve*float64(s.harmfulDemand(service))/float64(meanCores))
				if s.isShort(service) {
					is.wanted = min(is.wanted, (n+shortIsolationShare-1)/shortIsolationShare)
				}
			}
		}
	}
	for key, is := range s.isolations {
		maps.DeleteFunc(is.lostAt, func(id string, at time.Duration) bool {
			r := s.runners[id]
			return r == nil || r.replaced || s.now-at > isolationDowntime
		})
		for _, r := range slices.Clone(is.runners) {
			if s.runners[r.ID] != r || !r.listed || r.riskyRuns == 0 && s.now-r.riskyAt > isolationIdle {
				s.endIsolation(r)
			}
		}
		if len(is.runners) == 0 && len(is.lostAt) == 0 && !s.crashes.known() {
			delete(s.isolations, key)
		}
	}
}

// suspectsWaiting returns how many runners are of use for suspects: one for each that waits, a gang as many as it has members, and
// those on which suspects run.
func (is *isolation) suspectsWaiting(stages []*stage) int {
	n := 0
	for _, r := range is.runners {
		if r.riskyRuns > 0 {
			n++
		}
	}
	for _, st := range stages {
		if st.job.queue.Service != is.key.service {
			continue
		}
		for _, t := range st.tasks {
			if t.waiting() && t.verdict() != blame.Unsuspected {
				n++
			}
		}
	}
	return n
}

// isShort reports whether the runners that aren't set apart have little free capacity left for other work.
func (s *Scheduler) isShort(service string) bool {
	var used, capacity int64
	for _, r := range s.runners {
		if r.Service == service && r.isolation == nil && r.usable() {
			used += r.used.CoresMilli
			capacity += r.Capacity.CoresMilli
		}
	}
	return float64(used) > shortageUsage*float64(capacity)
}

// harmfulDemand returns the cores of the started and the waiting tasks of harmful queues, in millicores.
func (s *Scheduler) harmfulDemand(service string) int64 {
	var demand int64
	for _, st := range s.openStages {
		if q := &st.job.queue; q.Service == service && s.crashes.harmful[q.Name] {
			demand += st.step.Reserved().CoresMilli * int64(len(st.tasks)-st.doneCount)
		}
	}
	return demand
}

// prepareIsolation sets runners apart for a suspect of the stage, or its gang, that finds none: those that are expected to be
// idle first. The suspect starts there once the runs of others have ended, so that they aren't lost with the runner. As these may take
// longer than expected, an idle runner replaces one that is waited for.
func (s *Scheduler) prepareIsolation(st *stage, candidates []*runner) {
	is := s.isolationFor(st.job.queue.Service, riskByTask)
	missing := 1
	if st.step.Gang {
		missing = len(st.tasks)
	}
	spare := is.room() > 0 // other suspects wait for the runners that are set apart
	limit := st.maxOnRunner(missing)
	copies := func(r *runner) int { return st.step.Reserved().Copies(r.Capacity, limit) }
	var others, busy []*runner
	idle := false // an idle runner is set apart that the stage may use
	for _, r := range candidates {
		switch {
		case !s.becomesFree(r):
			continue // set apart or not, it is of no use to the suspect
		case r.isolation == is && copies(r) > 0:
			r.riskyAt = max(r.riskyAt, s.now-isolationTime) // it is waited for
			missing -= copies(r)
			idle = idle || len(r.runs) == 0
			if r.riskyRuns == 0 && len(r.runs) > 0 {
				busy = append(busy, r)
			}
		case r.isolation == nil && copies(r) > 0 && !s.crashesByItself(r.Addr):
			s.updateOutlook(r)
			others = append(others, r)
		}
	}
	if spare && !st.step.Gang {
		missing = 1
	}
	slices.SortStableFunc(others, func(a, b *runner) int {
		return cmp.Or(cmp.Compare(min(len(a.runs), 1), min(len(b.runs), 1)), cmp.Compare(a.outlook.idleAt, b.outlook.idleAt))
	})
	// One at a time, and none while the stage has an idle one: stages with different eligible runners would otherwise exchange them in
	// each pass.
	if !idle && len(busy) > 0 && len(others) > 0 && len(others[0].runs) == 0 {
		s.endIsolation(busy[0])
		missing = max(missing, 0) + copies(busy[0])
	}
	for _, r := range others[:min(len(others), is.room())] {
		if missing <= 0 {
			return
		}
		s.setApart(r, riskByTask)
		missing -= copies(r)
	}
}

// becomesFree reports whether the runs of others on a runner, with which a suspect must not share it, have ended or are expected to.
func (s *Scheduler) becomesFree(r *runner) bool {
	return len(r.runs) == r.riskyRuns || s.becomesIdle(r)
}

// mayRunAnywhere reports whether risky runs of a stage may be placed on runners that are not set apart: because another one may
// be set apart for a queue, or because the stage has found none of those that are, or not enough for its gang, for a while.
func (s *Scheduler) mayRunAnywhere(st *stage, why risk, candidates []*runner) bool {
	is := s.isolationFor(st.job.queue.Service, why)
	if is.limit == 0 || why == riskByQueue && is.room() > 0 {
		return true
	}
	need := st.step.Reserved()
	if !st.step.Gang && slices.ContainsFunc(candidates, func(r *runner) bool {
		return r.isolation == is && need.Fits(r.Capacity) && (why != riskByTask || s.becomesFree(r))
	}) {
		st.notIsolatedSince = 0
		return false
	}
	if st.notIsolatedSince == 0 || s.now-st.notIsolatedAt > fullPassInterval+tickSlack {
		st.notIsolatedSince = s.now // it hasn't looked for runners in between
	}
	st.notIsolatedAt = s.now
	return s.now-st.notIsolatedSince >= maxIsolationWait
}

// riskyGangCandidates returns the runners for a gang that may crash them, those that are set apart first. A gang that is wide
// for the runners that may be set apart uses any runners.
func (s *Scheduler) riskyGangCandidates(st *stage, why risk, candidates []*runner) []*runner {
	is := s.isolationFor(st.job.queue.Service, why)
	wide := 2*st.step.Reserved().CoresMilli*int64(len(st.tasks)) > is.capacity
	anywhere := wide || s.mayRunAnywhere(st, why, candidates)
	shared := s.mayShare(st, why)
	admitted := slices.DeleteFunc(slices.Clone(candidates), func(r *runner) bool { return !s.admitsRisk(r, why, anywhere, shared) })
	if wide || shared || is.room() == 0 || s.now-st.notIsolatedSince >= maxIsolationWait && st.notIsolatedSince > 0 {
		return admitted
	}
	slices.SortStableFunc(admitted, byIsolation)
	isolated := 0
	for isolated < len(admitted) && admitted[isolated].isolation != nil {
		isolated++
	}
	return admitted[:min(len(admitted), isolated+is.room())]
}

// byIsolation orders runners: those that are set apart first, then those with the fewest cores in use.
func byIsolation(a, b *runner) int {
	if isolated := a.isolation != nil; isolated != (b.isolation != nil) {
		if isolated {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.used.CoresMilli, b.used.CoresMilli)
}
