package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

const (
	// excessHeadroom is for how long the expected requests of other work are left free by excess work. It is longer than
	// the objective of urgent work beyond its run time, which can't wait until an excess run ends.
	excessHeadroom = 500 * time.Millisecond
	// arrivalWindow is the time constant of the measured requests of other work.
	arrivalWindow = 2 * time.Second
	// minRefusalRetry and maxRefusalRetry limit the Retry-After of a refusal.
	minRefusalRetry = time.Second
	maxRefusalRetry = 30 * time.Second
	// minWeight is the weight of a tenant whose configuration gives none or that was removed.
	minWeight = 0.01
)

// excessState is the state of a tenant's arrivals beyond its rate.
type excessState struct {
	waiting int         // excess jobs that have not started
	queue   []*jobState // the same in the order of arrival; also some that have started or ended
}

// shareWeight returns the weight of a tenant in shares.
func (t *tenantState) shareWeight() float64 { return max(t.Weight, minWeight) }

// classifyArrival decides whether a new job is within the rate that its tenant is owed.
func (s *Scheduler) classifyArrival(j *jobState) {
	if t := j.tenant; t != nil && t.configured && t.Weight > 0 && !t.arrivals.Take(s.now) {
		s.addExcess(j)
	}
}

func (s *Scheduler) addExcess(j *jobState) {
	j.excess, j.excessWaiting = true, true
	t := j.tenant
	t.excess.waiting++
	t.excess.queue = append(t.excess.queue, j)
}

// excessLeft records that an excess job has started, has ended or is excess no longer.
func (s *Scheduler) excessLeft(j *jobState) {
	if j.excessWaiting {
		j.excessWaiting = false
		j.tenant.excess.waiting--
	}
}

// promoteExcess makes the oldest waiting excess jobs of each tenant ordinary ones, as many as tokens have overflowed, so
// that they don't wait for ever.
func (s *Scheduler) promoteExcess() {
	for _, t := range s.tenants.byName {
		if t.excess.waiting == 0 {
			t.excess.queue = nil
		}
		for n := t.arrivals.TakeOverflow(s.now, t.excess.waiting); n > 0; {
			j := t.excess.queue[0]
			t.excess.queue = t.excess.queue[1:]
			if !j.excessWaiting {
				continue
			}
			s.excessLeft(j)
			j.excess = false
			s.stateChanged(j)
			n--
		}
	}
}

// admitExcess refuses a job beyond its tenant's rate if the tenant's waiting excess jobs need longer than the job has
// value: it would end without value for its caller, who can act on a refusal.
func (s *Scheduler) admitExcess(t *tenantState, valueTime, objective time.Duration) *Refusal {
	if t.Weight <= 0 || t.arrivals.Available(s.now) {
		return nil
	}
	wait := seconds(float64(t.excess.waiting) / t.Weight)
	if wait <= valueTime {
		return nil
	}
	return &Refusal{Reason: "beyond the rate of its tenant", RetryAfter: retryAfter(wait, objective)}
}

// admitAtCap refuses a job of a tenant at its cap whose waiting work, at the rate of the cap, takes longer than the job
// has value.
func (s *Scheduler) admitAtCap(t *tenantState, spec *job.Spec, valueTime, objective time.Duration) *Refusal {
	largest := (&jobState{spec: *spec}).largestTask()
	if withinCap(t.committed().Add(largest), t.Cap) {
		return nil
	}
	var wait time.Duration
	limits := amountsOf(t.Cap)
	for i, work := range t.waitingWork() {
		if limits[i] > 0 {
			wait = max(wait, seconds(work/limits[i]))
		}
	}
	if wait <= valueTime {
		return nil
	}
	return &Refusal{Reason: "its tenant is at its cap", RetryAfter: retryAfter(wait, objective)}
}

func retryAfter(wait, objective time.Duration) time.Duration {
	return min(max(wait-objective, minRefusalRetry), maxRefusalRetry)
}

// seconds converts a number of seconds, which may be larger than a duration can hold.
func seconds(n float64) time.Duration {
	const limit = float64(24 * time.Hour)
	return time.Duration(min(n*float64(time.Second), limit))
}

// sortExcess brings the restored excess jobs into the order of their arrival.
func (s *Scheduler) sortExcess() {
	for _, t := range s.tenants.byName {
		slices.SortFunc(t.excess.queue, func(a, b *jobState) int {
			return cmp.Or(cmp.Compare(a.acceptedAt, b.acceptedAt), cmp.Compare(a.spec.ID, b.spec.ID))
		})
	}
}
