package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	// maxRetryAfter limits Retry-After before the jitter, so that callers still retry soon after
	// a rate was measured as almost zero.
	maxRetryAfter = time.Minute
	// retryAfterJitter is the maximum relative increase of Retry-After; it spreads the retries
	// of refused callers.
	retryAfterJitter = 0.2
)

// admittedWaitShare is the fraction of the caller's maximum wait that the predicted wait may
// use. The measured rate of one shard owner varies by about a tenth, and a request that is
// admitted and then expires has made its caller wait for nothing.
const admittedWaitShare = 0.85

// unboundedWait is the largest predicted wait; it also stands for a wait without end.
const unboundedWait = time.Hour

// predictWait returns how long a new request of the class would wait: the queued work, this
// request included, less what the free capacity can start, divided by the measured start rate
// of the class. The rate is measured in competition with work of equal or higher urgency and
// within the share of the template, so that a flood of one template does not cause requests of
// another to be refused. Without a measured rate, as at the beginning of a flood, it is
// replaced by this owner's equal part of the start rate that the whole capacity allows at the
// mean run time, and the wait is at least that for more urgent work. Without a measured run
// time, only more urgent work counts.
func (t *Table) predictWait(now time.Time, template *templateState, c sizeClass) time.Duration {
	capacity := t.capacities[template.PoolPrefix()]
	free, ahead := capacity.maxStarts(c), 1
	q := template.queue(c)
	if q != nil {
		ahead += q.size()
		if rate, known := q.meter.estimate(now); known {
			return timeToStart(ahead-free, rate)
		}
	}
	wait := t.urgentWait(now, template, free)
	if rate := capacity.rate(c, template.meanRunTime) / float64(max(1, t.shardOwners)); rate > 0 {
		wait = max(wait, timeToStart(ahead-free, rate))
	}
	return wait
}

// urgentWait returns the time until the more urgent work for the same pools has started. It
// leaves out queues without a measured rate.
func (t *Table) urgentWait(now time.Time, template *templateState, free int) time.Duration {
	ahead, rate := 0, 0.0
	for _, other := range t.templatesByName {
		if other.Urgency <= template.Urgency || other.PoolPrefix() != template.PoolPrefix() {
			continue
		}
		for _, q := range other.queues {
			if measured, known := q.meter.estimate(now); known && q.size() > 0 {
				ahead += q.size()
				rate += measured
			}
		}
	}
	if ahead == 0 {
		return 0
	}
	return timeToStart(ahead-free, rate)
}

// timeToStart returns how long n starts take at the given rate per second.
func timeToStart(n int, rate float64) time.Duration {
	if n <= 0 {
		return 0
	}
	if rate*unboundedWait.Seconds() <= float64(n) {
		return unboundedWait
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// retryAfter returns the Retry-After of a refusal. excess is the time by which the predicted
// wait is too long, the whole predicted wait if the queue is full, or 0 if that is not known.
func (t *Table) retryAfter(excess time.Duration) time.Duration {
	if excess >= unboundedWait/2 {
		// Almost nothing is being started, so the caller retries after RateWindow, when the
		// measured rate may have changed.
		excess = t.cfg.RateWindow
	}
	wait := min(max(excess, t.cfg.MinimumRetryWait), maxRetryAfter)
	return time.Duration(float64(wait) * (1 + retryAfterJitter*t.rnd.Float64()))
}

// refusal is the final reply to a request that was not admitted.
type refusal struct {
	reason model.Reason
	detail string
	retry  time.Duration
}

func (r refusal) reply() model.Reply {
	return model.Reply{Outcome: model.OutcomeNotRun, Reason: r.reason, Detail: r.detail, RetryAfter: r.retry}
}

// checkAdmission decides whether a new request is admitted; nil means that it is.
func (t *Table) checkAdmission(now time.Time, j *job) *refusal {
	if r := t.checkIdentifier(now, j); r != nil {
		return r
	}
	if j.async && len(j.body) > t.cfg.AcceptBytes {
		return &refusal{reason: model.ReasonInfeasible, detail: "body of an asynchronous request is too large"}
	}
	if !t.capacities[j.template.PoolPrefix()].feasible(j.sizeClass) {
		return &refusal{reason: model.ReasonInfeasible, detail: "no known endpoint is large enough"}
	}
	if t.journalDown && (j.async || j.needsIntent()) {
		return &refusal{model.ReasonStoreDown, "the journal can't be written", t.retryAfter(0)}
	}
	wait := t.predictWait(now, j.template, j.sizeClass)
	if t.queueFull(j) {
		return &refusal{model.ReasonQueueFull, "queue of the template is full", t.retryAfter(wait)}
	}
	limit := time.Duration(admittedWaitShare * float64(j.maxWait))
	if j.maxWait > 0 && wait > limit && j.kind != model.KindService {
		return &refusal{model.ReasonOverload, "predicted wait is too long", t.retryAfter(wait - limit)}
	}
	return nil
}

// checkIdentifier refuses an identifier of a non-idempotent request that is not a UUIDv7, is
// older than the record retention (its record may have been removed) or is in the future (it
// would still be accepted after its record was removed).
func (t *Table) checkIdentifier(now time.Time, j *job) *refusal {
	if !j.needsIntent() {
		return nil
	}
	created, ok := model.IDTimestamp(j.key.ID)
	switch {
	case !ok:
		return &refusal{reason: model.ReasonIDTooOld, detail: "identifier is not a UUIDv7"}
	case created.Before(now.Add(-t.cfg.Retention)):
		return &refusal{reason: model.ReasonIDTooOld, detail: "identifier is older than the record is kept"}
	case created.After(now.Add(t.cfg.ClockSkew)):
		return &refusal{reason: model.ReasonIDInFuture, detail: "identifier was minted in the future"}
	default:
		return nil
	}
}

// queueFull reports whether the queue of the template has no capacity for the request.
func (t *Table) queueFull(j *job) bool {
	return j.template.queueEntries >= t.cfg.QueueEntries ||
		j.template.queueBytes+int64(len(j.body)) > t.cfg.QueueBytes
}
