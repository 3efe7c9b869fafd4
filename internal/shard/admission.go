package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// The bounds of Retry-After. The upper one keeps callers coming back after a
// rate that was measured as almost zero.
const (
	maxRetryAfter    = time.Minute
	retryAfterJitter = 0.2 // spreads refused callers
)

// admitShare is the part of the caller's wait that the predicted wait may take.
// The measured rate of one shard owner varies by about a tenth, and a request
// that is taken and then expires has kept its caller waiting for nothing.
const admitShare = 0.85

// never is the predicted wait when nothing of a class starts.
const never = time.Hour

// predictWait returns how long a new request of the class would wait: the work
// ahead that the free capacity does not cover, divided by the measured rate of
// the class. The rate is measured under the contention of equally and more
// urgent work and within the share of the template, so that the flood of one
// template does not refuse the requests of another. Without a measured rate, as
// at the beginning of a flood, it is the rate of the whole capacity at the
// measured run time; without that only more urgent work counts.
func (t *Table) predictWait(now time.Time, template *templateState, c class) time.Duration {
	capacity := t.capacities[template.PoolPrefix()]
	free, ahead := capacity.starts(c), 1
	q := template.queue(c)
	if q != nil {
		ahead += q.size()
		if rate, known := q.meter.estimate(now); known {
			return drainTime(ahead-free, rate)
		}
	}
	wait := t.urgentWait(now, template, free)
	if rate := capacity.rate(c, template.meanRun) / float64(max(1, t.members)); rate > 0 {
		wait = max(wait, drainTime(ahead-free, rate))
	}
	return wait
}

// urgentWait returns the time until the more urgent work for the same pools has started.
func (t *Table) urgentWait(now time.Time, template *templateState, free int) time.Duration {
	ahead, rate := 0, 0.0
	for _, other := range t.ordered {
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
	return drainTime(ahead-free, rate)
}

// drainTime returns how long n starts take at a rate per second.
func drainTime(n int, rate float64) time.Duration {
	if n <= 0 {
		return 0
	}
	if rate*never.Seconds() <= float64(n) {
		return never
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// retryAfter returns the Retry-After of a refusal when the queue needs the given time to drain.
func (t *Table) retryAfter(excess time.Duration) time.Duration {
	if excess >= never/2 {
		// Nothing starts. The next measurement decides.
		excess = t.cfg.RateWindow
	}
	wait := min(max(excess, t.cfg.MinimumRetryWait), maxRetryAfter)
	return time.Duration(float64(wait) * (1 + retryAfterJitter*t.rnd.Float64()))
}

// refusal is a final answer to a request that was not taken.
type refusal struct {
	reason model.Reason
	detail string
	retry  time.Duration
}

func (r refusal) reply() model.Reply {
	return model.Reply{Outcome: model.OutcomeNotRun, Reason: r.reason, Detail: r.detail, RetryAfter: r.retry}
}

// admit decides whether a new request is taken; nil means that it is.
func (t *Table) admit(now time.Time, j *job) *refusal {
	if r := t.checkIdentifier(now, j); r != nil {
		return r
	}
	if j.async && len(j.body) > t.cfg.AcceptBytes {
		return &refusal{reason: model.ReasonInfeasible, detail: "body of an asynchronous request is too large"}
	}
	if !t.capacities[j.template.PoolPrefix()].feasible(j.class) {
		return &refusal{reason: model.ReasonInfeasible, detail: "no known endpoint is large enough"}
	}
	if t.journalDown && (j.async || j.needsIntent()) {
		return &refusal{model.ReasonStoreDown, "the journal can't be written", t.retryAfter(0)}
	}
	wait := t.predictWait(now, j.template, j.class)
	if t.full(j) {
		return &refusal{model.ReasonQueueFull, "queue of the template is full", t.retryAfter(wait)}
	}
	limit := time.Duration(admitShare * float64(j.maxWait))
	if j.maxWait > 0 && wait > limit && j.kind != model.KindService {
		return &refusal{model.ReasonOverload, "predicted wait is too long", t.retryAfter(wait - limit)}
	}
	return nil
}

// checkIdentifier refuses identifiers of non-idempotent requests whose record
// may be gone already, or whose record would go too early.
func (t *Table) checkIdentifier(now time.Time, j *job) *refusal {
	if !j.needsIntent() {
		return nil
	}
	minted, ok := model.IDTimestamp(j.key.ID)
	switch {
	case !ok:
		return &refusal{reason: model.ReasonIDTooOld, detail: "identifier is not a UUIDv7"}
	case minted.Before(now.Add(-t.cfg.Retention)):
		return &refusal{reason: model.ReasonIDTooOld, detail: "identifier is older than the record is kept"}
	case minted.After(now.Add(t.cfg.ClockSkew)):
		return &refusal{reason: model.ReasonIDInFuture, detail: "identifier was minted in the future"}
	default:
		return nil
	}
}

// full reports whether the queue of the template has no room for the request.
func (t *Table) full(j *job) bool {
	return j.template.entries >= t.cfg.QueueEntries ||
		j.template.bytes+int64(len(j.body)) > t.cfg.QueueBytes
}
