package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	// shedInterval is the time between two looks at queues that may have become too long.
	shedInterval = 250 * time.Millisecond
	// shedSlack is how far the predicted wait of a queued request may exceed what
	// is left of its wait before it is answered. Rates vary from sample to sample;
	// without slack a short dip would empty half a queue.
	shedSlack = 1.3
	// shedFloor is the least excess that counts.
	shedFloor = 200 * time.Millisecond
)

// shedQueues answers queued requests that will not start in time at the rate
// measured now. They were taken when the rate was higher; their callers learn it
// at once and not at the end of their wait.
func (t *Table) shedQueues(now time.Time, fx *Effects) {
	if now.Sub(t.shedAt) < shedInterval {
		return
	}
	t.shedAt = now
	for _, template := range t.ordered {
		for _, q := range template.queues {
			t.shedQueue(now, q, fx)
		}
	}
}

// shedQueue answers from the newest request on, until one is reached that will
// start in time.
func (t *Table) shedQueue(now time.Time, q *classQueue, fx *Effects) {
	rate, known := q.meter.estimate(now)
	if !known {
		return
	}
	position := q.size() - t.capacities[q.template.PoolPrefix()].starts(q.class)
	for _, u := range q.newest(position) {
		wait := drainTime(position, rate)
		left := u.job.deadline.Sub(now)
		if !u.job.sheddable() || wait <= shedLimit(left) {
			return
		}
		r := refusal{model.ReasonOverload, "the queue drains more slowly than predicted", t.retryAfter(wait - left)}
		t.finish(now, u.job, r.reply(), nil, fx)
		position--
	}
}

func shedLimit(left time.Duration) time.Duration {
	return time.Duration(float64(left)*shedSlack) + shedFloor
}

// sheddable reports whether the request may still be refused: nothing of it has
// started, it has a time limit, and it was not accepted.
func (j *job) sheddable() bool {
	return !j.async && !j.deadline.IsZero() && j.last == nil && !j.inIntent() && len(j.units) == 1
}

// newest returns up to n first starts, the newest first.
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

// measured reports whether any request waits in a queue of known rate.
func (t *Table) measured() bool {
	for _, template := range t.ordered {
		for _, q := range template.queues {
			if q.size() > 0 && q.meter.known {
				return true
			}
		}
	}
	return false
}
