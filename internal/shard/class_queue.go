package shard

import (
	"time"

	"github.com/google/btree"
)

// btreeDegree keeps the trees shallow; the pure cost differs little between 16 and 64.
const btreeDegree = 32

// maxRetryScan bounds how many repeated units are tried against one grant. They
// may not run where they failed before; first starts are never held back by them.
const maxRetryScan = 64

// classQueue holds the ready units of one template and class by age. Units
// that failed somewhere are kept apart, because they don't take every endpoint.
type classQueue struct {
	template *templateState
	class    class
	fresh    *btree.BTreeG[*unit]
	retried  *btree.BTreeG[*unit]
	meter    rateMeter
}

func newClassQueue(t *templateState, c class, window time.Duration) *classQueue {
	return &classQueue{
		template: t,
		class:    c,
		fresh:    btree.NewG(btreeDegree, olderUnit),
		retried:  btree.NewG(btreeDegree, olderUnit),
		meter:    rateMeter{window: window},
	}
}

// size returns the number of ready units.
func (q *classQueue) size() int { return q.fresh.Len() + q.retried.Len() }

// insert adds a ready unit.
func (q *classQueue) insert(now time.Time, u *unit) {
	if q.size() == 0 {
		q.meter.setBusy(now, true)
	}
	q.tree(u).ReplaceOrInsert(u)
}

// remove takes a unit out if it is there.
func (q *classQueue) remove(now time.Time, u *unit) {
	q.tree(u).Delete(u)
	if q.size() == 0 {
		q.meter.setBusy(now, false)
	}
}

func (q *classQueue) tree(u *unit) *btree.BTreeG[*unit] {
	if len(u.failed) > 0 {
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
		if u.accepts(endpoints) {
			retried = u
		}
		return retried == nil && tried < maxRetryScan
	})
	return older(fresh, retried)
}

// older returns the older of two units, either of which may be nil.
func older(a, b *unit) *unit {
	if a == nil || (b != nil && olderUnit(b, a)) {
		return b
	}
	return a
}
