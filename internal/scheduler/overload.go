package scheduler

import (
	"math"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// maxAdviceWait is the longest predicted wait for advice of an accepted job whose caller waits, while most cores are free:
// then accepted work has to be at work within 14 s of the end of the traffic. Half of that is left for the error of the
// prediction, which errs towards accepting. On a busy fleet work may wait for as long as it has value.
const maxAdviceWait = 7 * time.Second

// Reasons of refusals of an overloaded cell.
const (
	reasonCores  = "overloaded: cores"
	reasonAdvice = "overloaded: advice"
)

// admitOverload refuses a job if the accepted work that is at least as urgent is predicted to delay it beyond the time in
// which it has value, or, while most cores are free, its advice beyond maxAdviceWait. Scheduled and long-running jobs are admitted: no caller waits for them,
// and a refusal would cost all their later occurrences, or all of a long run, for a shortage of seconds.
func (s *Scheduler) admitOverload(spec *job.Spec) *Refusal {
	if spec.Occurrences > 0 || isLongRunning(spec) {
		return nil
	}
	queue, known := s.queues[spec.Queue]
	if !known {
		return nil
	}
	cores, advice := s.load.coreWait(queue.Service, queue.Priority), time.Duration(0)
	if queue.Advice != nil {
		advice = s.load.adviceWait(queue.Priority, len(s.dispatcher.machines))
	}
	if max(cores, advice) <= time.Second { // the common case, which needs no objective
		return nil
	}
	value := lateFactor * s.objectiveOf(spec, &queue)
	wait, limit, reason := cores, value, reasonCores
	adviceLimit := value
	if s.mostlyFree {
		adviceLimit = min(value, maxAdviceWait)
	}
	if advice-adviceLimit > wait-limit {
		wait, limit, reason = advice, adviceLimit, reasonAdvice
	}
	if wait <= limit || s.waitsLittleAtShare(spec.Tenant, queue.Service, limit) {
		return nil
	}
	return &Refusal{Reason: reason, RetryAfter: min(max(wait-limit, minRefusalRetry), maxRefusalRetry), Wait: wait, Overload: true}
}

// waitsLittleAtShare reports whether a tenant has so little waiting work that its share of the capacity, or what it has now,
// serves it within the limit. The work of other tenants doesn't delay it for longer. A tenant with little work is over its
// share at times, as its share is little too.
func (s *Scheduler) waitsLittleAtShare(tenant, service string, limit time.Duration) bool {
	t := s.tenants.byName[tenant]
	if t == nil || !t.configured {
		return false
	}
	work, share := t.waitingWork()[0], max(t.fairShare*float64(s.load.capacity[service]), float64(t.charged.CoresMilli))
	return work == 0 || share > 0 && seconds(work/share) <= limit
}

func isLongRunning(spec *job.Spec) bool {
	for i := range spec.Steps {
		if spec.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// PredictedWaits returns how long the least urgent work is predicted to wait for cores, in the service where that takes
// longest, and for advice calls.
func (s *Scheduler) PredictedWaits() (cores, advice time.Duration) {
	for service := range s.load.capacity {
		cores = max(cores, s.load.coreWait(service, math.MaxInt))
	}
	return cores, s.load.adviceWait(math.MaxInt, len(s.dispatcher.machines))
}
