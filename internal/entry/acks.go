package entry

import (
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// confirmInterval is the minimum time between two batches of confirmations to
// pool owners, so that the message rate does not grow with the attempt rate.
const confirmInterval = 100 * time.Millisecond

// acks confirms attempt completions to pool owners once the resulting records
// are in the journal. A completion is the final state of an attempt, including
// "not started" and "unknown". A pool owner must not let the endpoint discard a
// completion before that: the next owner of the shard could not learn of it.
type acks struct {
	l          *loop
	lastSeq    uint64
	unwritten  []uint64   // sequence numbers of entries not yet written, ascending
	batches    []ackBatch // ascending by sequence number
	waiters    map[model.AttemptID][]*ackWaiter
	replyPools map[model.AttemptID]model.PoolID // completions that arrived in a dispatch reply
	confirmed  map[model.PoolID][]model.AttemptID
	nextFlush  time.Time
}

// ackBatch is a set of completions that may be confirmed, or a function that may be
// called, once all entries up to seq are written.
type ackBatch struct {
	seq      uint64
	attempts []model.AttemptID
	done     func() // may be nil
}

// ackWaiter is a Shard.Ended call or a local delivery whose reply waits for the
// journal.
type ackWaiter struct {
	remaining int
	result    chan<- bool
}

func newAcks(l *loop) *acks {
	return &acks{
		l:          l,
		waiters:    make(map[model.AttemptID][]*ackWaiter),
		replyPools: make(map[model.AttemptID]model.PoolID),
		confirmed:  make(map[model.PoolID][]model.AttemptID),
	}
}

// assignSeq returns the sequence number of the next journal entry.
func (a *acks) assignSeq() uint64 {
	a.lastSeq++
	a.unwritten = append(a.unwritten, a.lastSeq)
	return a.lastSeq
}

// markWritten ends the wait for an entry, which is written or whose write has
// failed, and confirms the completions that waited for it.
func (a *acks) markWritten(seq uint64) {
	if i, found := slices.BinarySearch(a.unwritten, seq); found {
		a.unwritten = slices.Delete(a.unwritten, i, i+1)
	}
	for len(a.batches) > 0 && a.durable(a.batches[0].seq) {
		b := a.batches[0]
		a.batches = a.batches[1:]
		for _, attempt := range b.attempts {
			a.confirm(attempt)
		}
		if b.done != nil {
			b.done()
		}
	}
}

// whenDurable calls f once all entries appended so far are written.
func (a *acks) whenDurable(f func()) {
	if len(a.batches) == 0 && a.durable(a.lastSeq) {
		f()
		return
	}
	a.batches = append(a.batches, ackBatch{seq: a.lastSeq, done: f})
}

// durable reports whether all entries up to seq are written.
func (a *acks) durable(seq uint64) bool {
	return len(a.unwritten) == 0 || a.unwritten[0] > seq
}

// confirmWhenDurable confirms completions once all entries appended so far are
// written.
func (a *acks) confirmWhenDurable(attempts []model.AttemptID) {
	if len(attempts) == 0 {
		return
	}
	if len(a.batches) == 0 && a.durable(a.lastSeq) {
		for _, attempt := range attempts {
			a.confirm(attempt)
		}
		return
	}
	a.batches = append(a.batches, ackBatch{seq: a.lastSeq, attempts: attempts})
}

func (a *acks) confirm(attempt model.AttemptID) {
	for _, call := range a.waiters[attempt] {
		call.remaining--
		if call.remaining == 0 {
			call.result <- true
		}
	}
	delete(a.waiters, attempt)
	if pool, ok := a.replyPools[attempt]; ok {
		delete(a.replyPools, attempt)
		a.confirmed[pool] = append(a.confirmed[pool], attempt)
	}
}

// addWaiter sends true to result once all the completions are confirmed.
func (a *acks) addWaiter(settled []model.Settled, result chan<- bool) {
	call := &ackWaiter{remaining: len(settled), result: result}
	for _, s := range settled {
		a.waiters[s.Attempt] = append(a.waiters[s.Attempt], call)
	}
}

// addDispatchReply records that a completion arrived in a dispatch reply, so
// that it has to be confirmed to the owner of the pool.
func (a *acks) addDispatchReply(attempt model.AttemptID, pool model.PoolID) {
	a.replyPools[attempt] = pool
}

// pending reports whether a confirmation waits to be sent.
func (a *acks) pending() bool { return len(a.confirmed) > 0 }

// flush sends the confirmations to the pool owners.
func (a *acks) flush(now time.Time) {
	if len(a.confirmed) == 0 || now.Before(a.nextFlush) {
		return
	}
	a.nextFlush = now.Add(confirmInterval)
	for pool, attempts := range a.confirmed {
		owner := a.l.view.PoolOwner(pool)
		if owner == a.l.n.self.Incarnation {
			a.l.completionsConfirmed(pool, attempts)
			continue
		}
		a.l.n.start("Pool.Delivered", func() { a.l.n.sendDelivered(owner, pool, attempts) })
	}
	clear(a.confirmed)
}

// completionsConfirmed lets a local pool discard confirmed completions. Those that
// were sent in a dispatch reply are then not delivered again.
func (l *loop) completionsConfirmed(id model.PoolID, attempts []model.AttemptID) {
	l.outbox.removeConfirmed(attempts)
	if p, ok := l.pools[id]; ok {
		p.pool.MarkDelivered(l.now(), attempts)
	}
}

// DeliveredArgs confirms that the shard owner has recorded attempt completions.
type DeliveredArgs struct {
	Header
	Pool     model.PoolID
	Attempts []model.AttemptID
}

// sendDelivered confirms completions to the pool owner. If the message is lost,
// the pool owner delivers the completions again.
func (n *Node) sendDelivered(to string, id model.PoolID, attempts []model.AttemptID) {
	n.notify(n.ctx, to, "Pool.Delivered", DeliveredArgs{Header: n.header(), Pool: id, Attempts: attempts})
}

// deliveryConfirmed passes confirmations from another process to the loop.
type deliveryConfirmed struct {
	args DeliveredArgs
}

func (e deliveryConfirmed) apply(l *loop) { l.completionsConfirmed(e.args.Pool, e.args.Attempts) }
