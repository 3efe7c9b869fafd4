package scheduler

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateyard/agateyard/internal/job"
)

// EligibleRunner is a runner that may run a step, with the ticket that proves it.
type EligibleRunner struct {
	ID     string
	Ticket string
}

const (
	// adviceSurplus is how much more room is asked about than is needed, as others may take some of it meanwhile.
	adviceSurplus = 1.3
	// gangSurplus is the same for a gang, which has to find its room on the good runners at one moment, or runs there that
	// it may preempt. Asking again while it waits costs more than asking widely at first.
	gangSurplus = 16
	// gangPatience is how long a gang waits for room on the runners that it has asked about before it asks about more.
	// It doubles with each call, as calls are dear while everybody waits for room.
	gangPatience = 2 * time.Second
	// idlePatience is the same while few calls are made and most cores are free. With a call of 1.1 s and a renewal of
	// 0.7 s a gang that could run on runners that it doesn't know begins within the 3 s that work with room may wait.
	idlePatience = time.Second
	// maxPatience bounds the doubling.
	maxPatience = 2
	// gatherFleet is how long a new owner waits for most of the runners to answer before it asks about any.
	gatherFleet = 300 * time.Millisecond
	// firstShare is the share of good runners that is assumed before answers tell.
	firstShare = 0.5
	// shareWeight is the weight of one answer in the measured share.
	shareWeight = 0.05
	// leastShare keeps a queue with few good runners from asking about all of them at once.
	leastShare = 0.1
)

// askAdvice asks about runners that a stage knows nothing of, as many as it takes to find room for its waiting tasks.
func (s *Scheduler) askAdvice(st *stage, waiting int) {
	if st.job.queue.Advice == nil || st.advice.pending > 0 || s.now < st.advice.retryAt || st.advice.fleet == s.fleet {
		return
	}
	if !s.fleetGathered() || !s.desk.HasCapacity(st.job.queue.Advice.CallDuration(1), s.now) {
		return
	}
	var refs []RunnerRef
	if st.step.Gang {
		refs = s.unknownForGang(st)
	} else {
		refs = s.unknownWithRoom(st, waiting)
	}
	if len(refs) > 0 {
		refs = s.fillCall(st, refs)
		st.advice.askedAt = s.now
		st.advice.calls++
		for chunk := range slices.Chunk(refs, maxAdviceRunners) {
			s.ask(st, chunk, false) // at once from several machines: a wide gang needs to know most of the fleet
		}
	}
}

// fleetGathered reports whether most of the runners have answered this owner, or should have.
func (s *Scheduler) fleetGathered() bool {
	return s.now-s.takenOver >= gatherFleet || 10*len(s.byRoom) >= 9*len(s.runners)
}

// unknownWithRoom returns runners with room that the stage hasn't asked about. It begins among the tightest ones that
// fit, at a place that differs from stage to stage, so that stages rarely ask for the same room.
func (s *Scheduler) unknownWithRoom(st *stage, waiting int) []RunnerRef {
	need := st.step.Reserved()
	fits := sort.Search(len(s.byRoom), func(i int) bool { return s.byRoom[i].free().CoresMilli < need.CoresMilli })
	if fits == 0 {
		return nil
	}
	start := fits - 1 - int(xxhash.Sum64String(st.id.Job)%uint64(fits/2+1))
	wanted := adviceSurplus * float64(waiting) / s.goodShare(st)
	var refs []RunnerRef
	found := 0
	for k := range fits {
		r := s.byRoom[(start-k+fits)%fits]
		if !s.unknown(st, r) || r.claimedBy != nil && r.claimedBy != st {
			continue
		}
		copies := need.Copies(r.free(), st.perRunner(waiting))
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

// unknownForGang returns runners that the gang hasn't asked about, those with the most room first, until enough good
// ones may be known to hold it if all their room were free.
func (s *Scheduler) unknownForGang(st *stage) []RunnerRef {
	need := st.step.Reserved()
	limit := st.perRunner(len(st.tasks))
	known := 0
	for _, g := range st.advice.good {
		if g.born == g.runner.born && s.eligible(st, g.runner) {
			known += need.Copies(g.runner.Capacity, limit)
		}
	}
	wanted := gangSurplus*float64(len(st.tasks)) - float64(known)
	if st.advice.recalled && known >= len(st.tasks) {
		wanted = 0 // the predecessor had asked about enough
	}
	if wanted <= 0 {
		switch waited := s.now - st.advice.askedAt; {
		case s.mostlyFree && s.desk.MostlyIdle() && waited >= idlePatience:
			wanted = 2 * float64(len(st.tasks))
		case waited >= gangPatience<<min(st.advice.calls, maxPatience):
			wanted = float64(len(st.tasks)) / 2
		default:
			return nil
		}
	}
	wanted /= s.goodShare(st)
	var refs []RunnerRef
	found := 0
	for _, r := range s.byRoom {
		if !s.unknown(st, r) {
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
	if len(refs) == 0 {
		st.advice.fleet = s.fleet // all are known
	}
	return refs
}

// fillCall adds further unknown runners up to the number at which naming them costs half of what the call costs anyway:
// what is known of them serves the tasks that are placed later.
func (s *Scheduler) fillCall(st *stage, refs []RunnerRef) []RunnerRef {
	policy := st.job.queue.Advice
	size := maxAdviceRunners
	if policy.PerRunner > 0 {
		size = min(size, int(policy.PerCall/policy.PerRunner/2))
	}
	if len(refs) >= size {
		return refs
	}
	named := make(map[string]bool, len(refs))
	for _, ref := range refs {
		named[ref.ID] = true
	}
	start := int(xxhash.Sum64String(st.id.Job) % uint64(len(s.byRoom)))
	for k := range s.byRoom {
		r := s.byRoom[(start+k)%len(s.byRoom)]
		if len(refs) == size {
			break
		}
		if !named[r.ID] && s.unknown(st, r) {
			refs = append(refs, r.ref())
		}
	}
	return refs
}

// unknown reports whether the stage could run on a runner that it hasn't asked about in its present life.
func (s *Scheduler) unknown(st *stage, r *runner) bool {
	return !st.advice.asked.has(r.slot) && s.eligible(st, r) && r.health.admits(s.now)
}

// perRunner returns how many tasks of the stage may run on one runner, at most limit.
func (st *stage) perRunner(limit int) int {
	if st.step.MaxPerRunner > 0 {
		return min(limit, st.step.MaxPerRunner)
	}
	return limit
}

// goodShare returns the share of runners that the advice service has named as good for a queue's steps.
func (s *Scheduler) goodShare(st *stage) float64 {
	share, measured := s.shares[st.job.spec.Queue]
	if !measured {
		return firstShare
	}
	return max(share, leastShare)
}

func (s *Scheduler) measureShare(queue string, good, asked int) {
	share, measured := s.shares[queue]
	if !measured {
		share = firstShare
	}
	s.shares[queue] = share + shareWeight*(float64(good)/float64(asked)-share)
}

// prefetchAdvice asks for the steps that follow a stage whose tasks all run.
func (s *Scheduler) prefetchAdvice(st *stage) {
	for i := st.id.Step + 1; i < len(st.job.spec.Steps); i++ {
		next := s.stageOf(st.job, st.id.Occurrence, i)
		if next.open || next.finished() || !slices.Contains(next.step.After, st.id.Step) {
			continue
		}
		if next.advice.calls == 0 {
			s.askAdvice(next, len(next.tasks))
		}
	}
}

// renew asks for new tickets of runners on which room is held.
func (s *Scheduler) renew(st *stage, refs []RunnerRef) {
	if st.advice.pending > 0 || s.now < st.advice.retryAt {
		return
	}
	s.ask(st, refs, true)
}

func (s *Scheduler) ask(st *stage, refs []RunnerRef, renewal bool) {
	expected := st.job.queue.Advice.CallDuration(len(refs))
	machine, ok := s.desk.Assign(expected, s.now, renewal)
	if !ok {
		return // asked in a later pass, after more urgent stages
	}
	st.advice.pending++
	s.emit(RequestAdvice{
		Step: st.id, Runners: refs, Machine: machine, Expected: expected, Renewal: renewal,
	})
}

// AdviceAnswered takes the answer to AskAdvice into account.
func (s *Scheduler) AdviceAnswered(step job.StepID, asked []RunnerRef, good []EligibleRunner, valid time.Duration) {
	st := s.stages[step]
	if st == nil {
		return
	}
	a := &st.advice
	a.pending--
	if a.tickets == nil {
		a.tickets = map[*runner]ticket{}
	}
	if len(asked) > 0 {
		s.measureShare(st.job.spec.Queue, len(good), len(asked))
	}
	tickets := make(map[string]string, len(good))
	for _, g := range good {
		tickets[g.ID] = g.Ticket
	}
	for _, ref := range asked {
		r := s.runners[ref.ID]
		if r == nil {
			continue
		}
		if ref.Incarnation == r.born {
			a.asked.add(r.slot)
		}
		delete(a.tickets, r)
		if value, ok := tickets[ref.ID]; ok {
			a.tickets[r] = ticket{value: value, born: ref.Incarnation, until: s.now + valid - ticketTransit}
		}
	}
	a.collectGood()
	if st.adviceIsDear() && st.job.stored && len(good) > 0 && !st.finished() {
		s.changed(st.job)
	}
	s.releaseHeld(st, "no ticket", func(r *runner) bool { return !s.allowed(st, r) })
	s.startHeld(st)
	s.needsPass = true
}

// AdviceFailed tells that AskAdvice got no answer.
func (s *Scheduler) AdviceFailed(step job.StepID) {
	st := s.stages[step]
	if st == nil {
		return
	}
	st.advice.pending--
	st.advice.retryAt = s.now + adviceRetry
	s.releaseHeld(st, "no ticket", anyRunner)
	s.needsPass = true
}
