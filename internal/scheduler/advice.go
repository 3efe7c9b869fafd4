package scheduler

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateyard/agateyard/internal/job"
)

// EligibleRunner is a runner that the advice service allows to run a step, with the ticket that authorizes it.
type EligibleRunner struct {
	ID     string
	Ticket string
}

const (
	// adviceOversampling is the ratio of requested to needed capacity, as other stages may take some of it before the
	// response.
	adviceOversampling = 1.3
	// gangOversampling is the ratio for a gang, which needs capacity for all members at the same time, free or taken by
	// runs that it may preempt. Further requests while it waits cost more than one wide request at the start.
	gangOversampling = 16
	// gangRequestInterval is how long a gang waits for capacity on the runners that it has already queried before it
	// queries more. It doubles with each earlier request of the stage, as advice calls are a scarce resource while many
	// stages wait for capacity. Without an earlier request, it applies to eligible runners recorded by a predecessor.
	gangRequestInterval = 2 * time.Second
	// idleGangRequestInterval is the same while few calls are in flight and most cores are free. With a call of 1.1 s
	// and a renewal of 0.7 s, a gang that fits on runners that it has not queried starts within 3 s, the limit for work
	// that has free capacity.
	idleGangRequestInterval = time.Second
	// freeGangRequestInterval is the same for the first request after most cores have become free, whatever calls are in
	// flight. It leaves 2.5 s of the limit for a call of 1.2 s and a renewal of 1.1 s.
	freeGangRequestInterval = 200 * time.Millisecond
	// maxIntervalDoublings limits how often gangRequestInterval is doubled.
	maxIntervalDoublings = 2
	// fleetReportTimeout is how long a new owner waits for reports of most runners before it requests advice.
	fleetReportTimeout = 300 * time.Millisecond
	// initialEligibleShare is the assumed share of eligible runners before the first response.
	initialEligibleShare = 0.5
	// eligibleShareWeight is the weight of one response in the moving average of the share.
	eligibleShareWeight = 0.05
	// minEligibleShare keeps a queue with few eligible runners from querying the whole fleet at once.
	minEligibleShare = 0.1
)

// requestAdvice queries the advice service for runners that the stage has not queried yet, as many as are expected to
// provide capacity for its waiting tasks.
func (s *Scheduler) requestAdvice(st *stage, waiting int) {
	if st.job.queue.Advice == nil || st.advice.pending > 0 || s.now < st.advice.retryAt || st.advice.exhaustedVersion == s.fleetVersion {
		return
	}
	if s.isLimitedExcess(st) && !s.dispatcher.MostlyIdle() {
		return
	}
	if !s.fleetReported() {
		return
	}
	queue := st.job.spec.Queue
	if s.adviceRefusals[queue] >= maxAdviceRefusals || !s.dispatcher.HasCapacity(s.shortestRequest(st), s.now) {
		st.advice.deferral.attempt(s.now)
		return
	}
	s.searches++
	var refs []RunnerRef
	lean := s.keepsCallsShort(st)
	if lean && st.step.Gang {
		refs = s.unqueriedWithRoom(st)
	}
	switch {
	case len(refs) > 0:
	case st.step.Gang:
		refs = s.unqueriedForGang(st)
	default:
		refs = s.unqueriedWithCapacity(st, waiting)
	}
	if len(refs) == 0 {
		st.advice.deferral = adviceDeferral{}
		return
	}
	if !lean {
		refs = s.padRequest(st, refs)
	}
	sent := false
	for chunk := range slices.Chunk(refs, maxAdviceRunners) {
		// Concurrently from several machines: a wide gang has to query most of the fleet.
		sent = s.sendAdviceRequest(st, chunk, false) || sent
	}
	if sent { // a request that no machine takes must not delay the next one
		st.advice.requestedAt = s.now
		st.advice.requests++
		st.advice.deferral = adviceDeferral{}
	} else {
		s.adviceRefusals[queue]++
		st.advice.deferral.attempt(s.now)
	}
}

// maxAdviceRefusals is the number of requests of a queue that no machine takes after which a pass makes no more of them: the
// search for runners is the largest part of a request, and the stages that follow are less urgent.
const maxAdviceRefusals = 3

// shortestRequest returns the duration of the shortest call that a request of the stage can make.
func (s *Scheduler) shortestRequest(st *stage) time.Duration {
	policy := st.job.queue.Advice
	if st.advice.requests > 0 || st.step.RequiredLabel != "" || st.apart || s.keepsCallsShort(st) {
		return policy.CallDuration(1) // few runners may be left to query
	}
	return policy.CallDuration(min(paddedSize(policy), len(s.byFreeCores)))
}

// fleetReported reports whether most runners are usable, which requires a report, or the time to wait for reports is
// over.
func (s *Scheduler) fleetReported() bool {
	return s.now-s.takenOverAt >= fleetReportTimeout || 10*len(s.byFreeCores) >= 9*len(s.runners)
}

// unqueriedWithCapacity returns runners with free capacity that the stage has not queried. The search starts among the
// tightest fits, at a position that differs between jobs, so that stages rarely compete for the same capacity.
func (s *Scheduler) unqueriedWithCapacity(st *stage, waiting int) []RunnerRef {
	need := st.step.Reserved()
	fits := sort.Search(len(s.byFreeCores), func(i int) bool { return s.byFreeCores[i].free().CoresMilli < need.CoresMilli })
	if fits == 0 {
		return nil
	}
	start := fits - 1 - int(xxhash.Sum64String(st.id.Job)%uint64(fits/2+1))
	wanted := adviceOversampling * float64(waiting) / s.eligibleShare(st)
	order := s.orderBuf[:0]
	for k := range fits {
		order = append(order, s.byFreeCores[(start-k+fits)%fits])
	}
	s.orderBuf = order
	s.sortBySpeed(st, order)
	if st.apart {
		slices.SortStableFunc(order, byIsolation)
	}
	var refs []RunnerRef
	found, runtime := 0, s.expectedRunTime(st)
	for _, r := range order {
		if !s.unqueried(st, r) || !s.mayPlace(st, r, s.onRunner(runtime, r)) {
			continue
		}
		copies := need.Copies(r.free(), st.maxOnRunner(waiting))
		if copies == 0 {
			continue
		}
		refs = append(refs, r.ref())
		found += copies
		if float64(found) >= wanted || len(refs) == maxAdviceRunners {
			break
		}
	}
	return refs
}

// unqueriedForGang returns runners that the gang has not queried, most free cores first, until those that are expected to
// be eligible have enough capacity. It counts the total capacity of the runners, not their free capacity.
func (s *Scheduler) unqueriedForGang(st *stage) []RunnerRef {
	need := st.step.Reserved()
	limit := st.maxOnRunner(len(st.tasks))
	known := 0
	for _, e := range st.advice.eligible {
		if e.incarnation == e.runner.incarnation && s.feasible(st, e.runner) {
			known += need.Copies(e.runner.Capacity, limit)
		}
	}
	wanted := gangOversampling*float64(len(st.tasks)) - float64(known)
	if st.advice.restored && known >= len(st.tasks) {
		wanted = 0 // the predecessor had already queried enough runners
	}
	if wanted <= 0 {
		switch waited := s.now - st.advice.requestedAt; {
		case s.mostlyFree && s.dispatcher.MostlyIdle() && waited >= idleGangRequestInterval,
			s.mostlyFree && st.advice.requestedAt < s.mostlyFreeSince && waited >= freeGangRequestInterval:
			wanted = 2 * float64(len(st.tasks))
		case waited >= gangRequestInterval<<min(st.advice.requests, maxIntervalDoublings):
			wanted = float64(len(st.tasks)) / 2
		default:
			return nil
		}
	}
	wanted /= s.eligibleShare(st)
	var refs []RunnerRef
	found := 0
	quarantined := false
	for _, r := range s.byFreeCores {
		if !s.unqueried(st, r) {
			quarantined = quarantined || !s.healthAdmits(st, r)
			continue
		}
		copies := need.Copies(r.Capacity, limit)
		if copies == 0 {
			continue
		}
		refs = append(refs, r.ref())
		found += copies
		if float64(found) >= wanted {
			return refs
		}
	}
	if len(refs) == 0 && !quarantined {
		st.advice.exhaustedVersion = s.fleetVersion // no runner that is usable now and large enough is left to query
	}
	return refs
}

// padRequest adds further unqueried runners, at most up to the number at which the runners take half as long as the fixed
// duration of the call. The advice about them serves tasks that are placed later.
func (s *Scheduler) padRequest(st *stage, refs []RunnerRef) []RunnerRef {
	size := paddedSize(st.job.queue.Advice)
	if len(refs) >= size {
		return refs
	}
	named := make(map[string]bool, len(refs))
	for _, ref := range refs {
		named[ref.ID] = true
	}
	start := int(xxhash.Sum64String(st.id.Job) % uint64(len(s.byFreeCores)))
	order := append(append(s.orderBuf[:0], s.byFreeCores[start:]...), s.byFreeCores[:start]...)
	s.orderBuf = order
	s.sortBySpeed(st, order)
	for _, r := range order {
		if len(refs) == size {
			break
		}
		if !named[r.ID] && s.unqueried(st, r) {
			refs = append(refs, r.ref())
		}
	}
	return refs
}

// paddedSize returns the number of runners up to which a request is padded.
func paddedSize(policy *AdvicePolicy) int {
	if policy.PerRunner <= 0 {
		return maxAdviceRunners
	}
	return min(maxAdviceRunners, int(policy.PerCall/policy.PerRunner/2))
}

// unqueried reports whether a runner is feasible for the stage, admits runs and has not been queried in its current
// incarnation.
func (s *Scheduler) unqueried(st *stage, r *runner) bool {
	return !st.advice.queried.has(r.slot) && s.feasible(st, r) && s.healthAdmits(st, r)
}

// maxOnRunner returns the maximum number of tasks of the stage on one runner, at most limit.
func (st *stage) maxOnRunner(limit int) int {
	if st.step.MaxPerRunner > 0 {
		return min(limit, st.step.MaxPerRunner)
	}
	return limit
}

// eligibleShare returns the expected share of eligible runners in the advice responses of the stage's queue.
func (s *Scheduler) eligibleShare(st *stage) float64 {
	share, measured := s.eligibleShares[st.job.spec.Queue]
	if !measured {
		return initialEligibleShare
	}
	return max(share, minEligibleShare)
}

func (s *Scheduler) updateEligibleShare(queue string, eligible, queried int) {
	share, measured := s.eligibleShares[queue]
	if !measured {
		share = initialEligibleShare
	}
	s.eligibleShares[queue] = share + eligibleShareWeight*(float64(eligible)/float64(queried)-share)
}

// prefetchAdvice requests advice for the steps that depend on a stage without waiting tasks.
func (s *Scheduler) prefetchAdvice(st *stage) {
	for i := st.id.Step + 1; i < len(st.job.spec.Steps); i++ {
		next := s.stageOf(st.job, st.id.Occurrence, i)
		if next.open || next.finished() || !slices.Contains(next.step.After, st.id.Step) {
			continue
		}
		if next.advice.requests == 0 {
			s.requestAdvice(next, len(next.tasks))
		}
	}
}

// renew requests new tickets for runners with reserved runs.
func (s *Scheduler) renew(st *stage, refs []RunnerRef) {
	if st.advice.pending > 0 || s.now < st.advice.retryAt {
		return
	}
	s.sendAdviceRequest(st, refs, true)
}

// sendAdviceRequest reports whether a machine takes the request.
func (s *Scheduler) sendAdviceRequest(st *stage, refs []RunnerRef, renewal bool) bool {
	expected := st.job.queue.Advice.CallDuration(len(refs))
	machine, ok := s.dispatcher.Assign(expected, s.now, renewal)
	if !ok {
		return false // retried in a later pass, after more urgent stages
	}
	st.advice.pending++
	st.load.called += expected
	s.emit(RequestAdvice{
		Step: st.id, Runners: refs, Machine: machine, Expected: expected, Renewal: renewal,
	})
	return true
}

// AdviceAnswered processes the response to RequestAdvice.
func (s *Scheduler) AdviceAnswered(step job.StepID, queried []RunnerRef, eligible []EligibleRunner, ttl time.Duration) {
	st := s.stages[step]
	if st == nil {
		return
	}
	a := &st.advice
	a.pending--
	if a.tickets == nil {
		a.tickets = map[*runner]ticket{}
	}
	if len(queried) > 0 {
		s.updateEligibleShare(st.job.spec.Queue, len(eligible), len(queried))
	}
	tickets := make(map[string]string, len(eligible))
	for _, e := range eligible {
		tickets[e.ID] = e.Ticket
	}
	for _, ref := range queried {
		r := s.runners[ref.ID]
		if r == nil {
			continue
		}
		if ref.Incarnation == r.incarnation {
			a.queried.add(r.slot)
		}
		delete(a.tickets, r)
		if value, ok := tickets[ref.ID]; ok {
			a.tickets[r] = ticket{value: value, incarnation: ref.Incarnation, expiresAt: s.now + ttl - ticketLatency}
		}
	}
	a.rebuildEligible()
	if st.adviceIsExpensive() && st.job.stored && len(eligible) > 0 && !st.finished() {
		s.stateChanged(st.job)
	}
	s.releaseReserved(st, "no ticket", func(r *runner) bool { return !s.approved(st, r) })
	s.startReserved(st)
	s.needsPass = true
}

// AdviceFailed processes the failure of RequestAdvice. It releases the reserved runs of the stage.
func (s *Scheduler) AdviceFailed(step job.StepID) {
	st := s.stages[step]
	if st == nil {
		return
	}
	st.advice.pending--
	st.advice.retryAt = s.now + adviceRetryDelay
	s.releaseReserved(st, "no ticket", matchAnyRunner)
	s.needsPass = true
}
