package shard

import (
	"time"

	"github.com/google/btree"
)

// btreeDegree keeps the trees shallow; degrees from 16 to 64 cost about the same.
const btreeDegree = 32

// maxRetryScan bounds how many units that failed before are tried against one grant. They may
// not run on endpoints where they failed; they never block first starts.
const maxRetryScan = 64

// classQueue holds the ready units of one template and size class, ordered by age. Units that
// failed on an endpoint are kept separately, because they do not accept every endpoint.
type classQueue struct {
	template  *templateState
	sizeClass sizeClass
	fresh     *btree.BTreeG[*unit]
	retried   *btree.BTreeG[*unit]
	meter     rateMeter
}

func newClassQueue(t *templateState, c sizeClass, window time.Duration) *classQueue {
	return &classQueue{
		template:  t,
		sizeClass: c,
		fresh:     btree.NewG(btreeDegree, unitArrivedBefore),
		retried:   btree.NewG(btreeDegree, unitArrivedBefore),
		meter:     rateMeter{window: window},
	}
}

// size returns the number of ready units.
func (q *classQueue) size() int { return q.fresh.Len() + q.retried.Len() }

// insert adds a ready unit.
func (q *classQueue) insert(now time.Time, u *unit) {
	if q.size() == 0 {
		q.meter.setBacklogged(now, true)
	}
	q.tree(u).ReplaceOrInsert(u)
}

// remove removes a unit if it is queued.
func (q *classQueue) remove(now time.Time, u *unit) {
	q.tree(u).Delete(u)
	if q.size() == 0 {
		q.meter.setBacklogged(now, false)
	}
}

func (q *classQueue) tree(u *unit) *btree.BTreeG[*unit] {
	if len(u.failedEndpoints) > 0 {
		return q.retried
	}
	return q.fresh
}

// oldest returns the oldest ready unit, or nil.
func (q *classQueue) oldest() *unit {
	fresh, _ := q.fresh.Min()
	retried, _ := q.retried.Min()
	return older(fresh, retried)
}

// best returns the oldest unit that may run on all the endpoints, or nil.
func (q *classQueue) best(endpoints []string) *unit {
	fresh, _ := q.fresh.Min()
	var retried *unit
	tried := 0
	q.retried.Ascend(func(u *unit) bool {
		tried++
		if u.acceptsEndpoints(endpoints) {
			retried = u
		}
		return retried == nil && tried < maxRetryScan
	})
	return older(fresh, retried)
}

// older returns the older of two units, either of which may be nil.
func older(a, b *unit) *unit {
	if a == nil || (b != nil && unitArrivedBefore(b, a)) {
		return b
	}
	return a
}
