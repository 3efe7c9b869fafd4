package entry

import (
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// deliveredInterval is the time between two confirmations to a pool owner, so
// that their number grows with time and not with attempts.
const deliveredInterval = 100 * time.Millisecond

// acks confirms ends of attempts once the records that follow from them are in
// the journal. Only then may a pool owner let the endpoint forget the end: a
// successor of this process would otherwise find no trace of it.
type acks struct {
	l       *loop
	last    uint64
	open    []uint64   // entries not yet written, in order
	batches []ackBatch // in order of their entries
	waiting map[model.AttemptID][]*endedCall
	pools   map[model.AttemptID]model.PoolID // ends that came with the reply of a dispatch
	ready   map[model.PoolID][]model.AttemptID
	flushAt time.Time
}

// ackBatch are ends that may be confirmed when all entries up to seq are written.
type ackBatch struct {
	seq      uint64
	attempts []model.AttemptID
}

// endedCall is a delivery of ends whose reply waits for the journal.
type endedCall struct {
	left   int
	result chan<- bool
}

func newAcks(l *loop) *acks {
	return &acks{
		l:       l,
		waiting: make(map[model.AttemptID][]*endedCall),
		pools:   make(map[model.AttemptID]model.PoolID),
		ready:   make(map[model.PoolID][]model.AttemptID),
	}
}

// appended numbers an entry that goes to the journal.
func (a *acks) appended() uint64 {
	a.last++
	a.open = append(a.open, a.last)
	return a.last
}

// written closes an entry.
func (a *acks) written(seq uint64) {
	if i, found := slices.BinarySearch(a.open, seq); found {
		a.open = slices.Delete(a.open, i, i+1)
	}
	for len(a.batches) > 0 && a.durable(a.batches[0].seq) {
		for _, attempt := range a.batches[0].attempts {
			a.confirm(attempt)
		}
		a.batches = a.batches[1:]
	}
}

// durable reports whether all entries up to seq are written.
func (a *acks) durable(seq uint64) bool {
	return len(a.open) == 0 || a.open[0] > seq
}

// add confirms ends as soon as all entries appended so far are written.
func (a *acks) add(attempts []model.AttemptID) {
	if len(attempts) == 0 {
		return
	}
	if len(a.batches) == 0 && a.durable(a.last) {
		for _, attempt := range attempts {
			a.confirm(attempt)
		}
		return
	}
	a.batches = append(a.batches, ackBatch{seq: a.last, attempts: attempts})
}

func (a *acks) confirm(attempt model.AttemptID) {
	for _, call := range a.waiting[attempt] {
		call.left--
		if call.left == 0 {
			call.result <- true
		}
	}
	delete(a.waiting, attempt)
	if pool, ok := a.pools[attempt]; ok {
		delete(a.pools, attempt)
		a.ready[pool] = append(a.ready[pool], attempt)
	}
}

// expect makes a delivery wait for the confirmation of its ends.
func (a *acks) expect(settled []model.Settled, result chan<- bool) {
	call := &endedCall{left: len(settled), result: result}
	for _, s := range settled {
		a.waiting[s.Attempt] = append(a.waiting[s.Attempt], call)
	}
}

// replied notes that an end came with the reply of a dispatch.
func (a *acks) replied(attempt model.AttemptID, pool model.PoolID) {
	a.pools[attempt] = pool
}

// pending reports whether a confirmation waits to be sent.
func (a *acks) pending() bool { return len(a.ready) > 0 }

// flush tells pool owners which ends are confirmed.
func (a *acks) flush(now time.Time) {
	if len(a.ready) == 0 || now.Before(a.flushAt) {
		return
	}
	a.flushAt = now.Add(deliveredInterval)
	for pool, attempts := range a.ready {
		owner := a.l.view.PoolOwner(pool)
		if owner == a.l.n.self.Incarnation {
			a.l.delivered(pool, attempts)
			continue
		}
		go a.l.n.sendDelivered(owner, pool, attempts)
	}
	clear(a.ready)
}

// delivered lets an own pool forget ends, also those that wait to be delivered
// a second time.
func (l *loop) delivered(id model.PoolID, attempts []model.AttemptID) {
	l.outbox.forget(attempts)
	if p, ok := l.pools[id]; ok {
		p.pool.MarkDelivered(l.now(), attempts)
	}
}

// DeliveredArgs confirms that ends are recorded at their shard owner.
type DeliveredArgs struct {
	Header
	Pool     model.PoolID
	Attempts []model.AttemptID
}

// sendDelivered confirms ends. When it gets lost, the pool owner delivers them again.
func (n *Node) sendDelivered(to string, id model.PoolID, attempts []model.AttemptID) {
	n.notify(n.ctx, to, "Pool.Delivered", DeliveredArgs{Header: n.header(), Pool: id, Attempts: attempts})
}

// deliveredEvent hands confirmations of another process to the loop.
type deliveredEvent struct {
	args DeliveredArgs
}

func (e deliveredEvent) apply(l *loop) { l.delivered(e.args.Pool, e.args.Attempts) }
