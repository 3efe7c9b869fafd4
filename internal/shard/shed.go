package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	// shedInterval is the time between two checks for queues that have become too long.
	shedInterval = 250 * time.Millisecond
	// shedSlack is the factor by which the predicted wait of a queued request may exceed its
	// remaining wait, apart from extraWaitAllowed, before the request is refused. Measured rates
	// vary from sample to sample; without slack, a short dip would empty half a queue.
	shedSlack = 1.3
	// extraWaitAllowed is added to the remaining wait times shedSlack.
	extraWaitAllowed = 200 * time.Millisecond
)

// shedQueues refuses queued requests whose predicted wait at the currently measured rate
// exceeds longestQueueWait. When they were admitted, the rate was higher or not known yet. The
// callers get the refusal now instead of at the end of their wait.
func (t *Table) shedQueues(now time.Time, fx *Effects) {
	if now.Sub(t.lastShed) < shedInterval {
		return
	}
	t.lastShed = now
	for _, template := range t.templatesByName {
		for _, q := range template.queues {
			t.shedQueue(now, q, fx)
		}
	}
}

// shedQueue refuses requests from the newest on, until it reaches one whose predicted wait is
// within longestQueueWait or that is not sheddable.
func (t *Table) shedQueue(now time.Time, q *classQueue, fx *Effects) {
	rate, known := q.meter.estimate(now)
	if !known {
		return
	}
	// The number of starts until the newest remaining request has started, without those that
	// free capacity allows now.
	position := q.size() - t.capacities[q.template.PoolPrefix()].maxStarts(q.sizeClass)
	for _, u := range q.newest(position) {
		wait := timeToStart(position, rate)
		left := u.job.startDeadline.Sub(now)
		if !u.job.sheddable() || wait <= longestQueueWait(left) {
			return
		}
		r := refusal{model.ReasonOverload, "the queue drains more slowly than predicted", t.retryAfter(wait - left)}
		t.finish(now, u.job, r.reply(), nil, fx)
		position--
	}
}

// longestQueueWait returns the longest predicted wait for which a request with the given
// remaining wait stays queued.
func longestQueueWait(left time.Duration) time.Duration {
	return time.Duration(float64(left)*shedSlack) + extraWaitAllowed
}

// sheddable reports whether the request may still be refused: it has not started, it has a
// start deadline, it is not asynchronous, and it has one unit (it is not a service with
// several replicas).
func (j *job) sheddable() bool {
	return !j.async && !j.startDeadline.IsZero() && j.lastEnd == nil && !j.inIntent() && len(j.units) == 1
}

// newest returns up to n units that have not failed on an endpoint, newest first.
func (q *classQueue) newest(n int) []*unit {
	var out []*unit
	q.fresh.Descend(func(u *unit) bool {
		if len(out) >= n {
			return false
		}
		out = append(out, u)
		return true
	})
	return out
}

// hasMeasuredBacklog reports whether any request waits in a queue with a known rate.
func (t *Table) hasMeasuredBacklog() bool {
	for _, template := range t.templatesByName {
		for _, q := range template.queues {
			if q.size() > 0 && q.meter.known {
				return true
			}
		}
	}
	return false
}
