package entry

import (
	"context"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	outboxRetryInterval = 500 * time.Millisecond
	// outboxTimeout exceeds the time of a journal write, since the receiver
	// replies only after that.
	outboxTimeout = 3 * time.Second
	// confirmTimeout is the time to wait for the confirmation of a completion
	// before it is delivered again.
	confirmTimeout = 5 * time.Second
	// outboxMinAge is the shortest time after which delivery to an unreachable shard owner
	// is abandoned, if the retention of the at-most-once record is shorter. Until then a
	// later owner of the shard may query Pool.Attempts for the completion.
	outboxMinAge = 60 * time.Second
)

// outboxEntry is an attempt completion to be delivered to a shard owner.
type outboxEntry struct {
	pool     *ownedPool // nil for a completion that is forwarded
	to       string     // shard owner that dispatched; used for identifiers without a shard
	settled  model.Settled
	queuedAt time.Time
}

// outbox delivers attempt completions to shard owners: those from the local pools,
// and those of shards that have moved. It tells the local pools which ones were
// delivered.
type outbox struct {
	l                *loop
	queue            []*outboxEntry
	inFlight         map[string]bool // by receiver
	retryAt          time.Time
	unconfirmed      map[model.AttemptID]*outboxEntry // completions that were sent in a dispatch reply
	confirmDeadlines []confirmDeadline
}

func newOutbox(l *loop) *outbox {
	return &outbox{l: l, inFlight: make(map[string]bool), unconfirmed: make(map[model.AttemptID]*outboxEntry)}
}

// enqueue queues the completion of an attempt.
func (o *outbox) enqueue(p *ownedPool, to string, settled model.Settled) {
	o.queue = append(o.queue, &outboxEntry{pool: p, to: to, settled: settled, queuedAt: o.l.now()})
	o.retryAt = time.Time{}
}

// awaitConfirmation records a completion that is sent in a dispatch reply. It is
// delivered again unless the shard owner confirms it within confirmTimeout.
func (o *outbox) awaitConfirmation(p *ownedPool, settled model.Settled) {
	now := o.l.now()
	o.unconfirmed[settled.Attempt] = &outboxEntry{pool: p, settled: settled, queuedAt: now}
	o.confirmDeadlines = append(o.confirmDeadlines, confirmDeadline{attempt: settled.Attempt, due: now.Add(confirmTimeout)})
}

// pending reports whether a completion waits to be sent.
func (o *outbox) pending() bool { return len(o.queue) > 0 }

// removeConfirmed removes confirmed completions.
func (o *outbox) removeConfirmed(attempts []model.AttemptID) {
	for _, a := range attempts {
		delete(o.unconfirmed, a)
	}
}

// requeueUnconfirmed queues completions that were not confirmed in time.
func (o *outbox) requeueUnconfirmed(now time.Time) {
	for len(o.confirmDeadlines) > 0 && !now.Before(o.confirmDeadlines[0].due) {
		a := o.confirmDeadlines[0].attempt
		o.confirmDeadlines = o.confirmDeadlines[1:]
		if s, ok := o.unconfirmed[a]; ok {
			delete(o.unconfirmed, a)
			o.queue = append(o.queue, s)
		}
	}
}

// confirmDeadline is the time by which a completion must be confirmed.
type confirmDeadline struct {
	attempt model.AttemptID
	due     time.Time
}

// retry sends the queued completions, with at most one batch in flight per
// receiver.
func (o *outbox) retry(now time.Time) {
	o.requeueUnconfirmed(now)
	if len(o.queue) == 0 || now.Before(o.retryAt) {
		return
	}
	o.retryAt = now.Add(outboxRetryInterval)
	batches := make(map[string][]*outboxEntry)
	var keep []*outboxEntry
	for _, s := range o.queue {
		to := o.receiver(s)
		if now.Sub(s.queuedAt) > max(outboxMinAge, o.l.n.cfg.Settings.Retention.Record) {
			o.releaseAtPool(s)
			continue
		}
		if to == "" || o.inFlight[to] {
			keep = append(keep, s)
			continue
		}
		batches[to] = append(batches[to], s)
	}
	o.queue = keep
	for to, batch := range batches {
		o.send(to, batch)
	}
}

// receiver returns the current owner of the attempt's shard. The shard may have
// moved since the dispatch.
func (o *outbox) receiver(s *outboxEntry) string {
	shard, ok := s.settled.Attempt.Shard()
	if !ok {
		return s.to
	}
	return o.l.view.ShardOwner(shard)
}

func (o *outbox) send(to string, batch []*outboxEntry) {
	settled := make([]model.Settled, len(batch))
	for i, s := range batch {
		settled[i] = s.settled
	}
	o.inFlight[to] = true
	if to == o.l.n.self.Incarnation {
		o.l.n.start("delivery", func() { o.l.n.deliverLocal(to, batch, settled) })
		return
	}
	n := o.l.n
	n.start("Shard.Ended", func() {
		ctx, cancel := context.WithTimeout(n.ctx, outboxTimeout)
		defer cancel()
		var reply EndedReply
		err := n.peers.call(ctx, to, connControl, "Shard.Ended", EndedArgs{Header: n.header(), Settled: settled}, &reply)
		if err == nil {
			n.observe(reply.Header)
		}
		n.post(deliveryReturned{to: to, batch: batch, ok: err == nil && reply.Taken})
	})
}

// releaseAtPool tells the pool that it may discard the completion.
func (o *outbox) releaseAtPool(s *outboxEntry) {
	if s.pool == nil {
		return
	}
	s.pool.pool.MarkDelivered(o.l.now(), []model.AttemptID{s.settled.Attempt})
}

// deliverLocal delivers a batch to the local shard table and waits until its
// records are in the journal.
func (n *Node) deliverLocal(to string, batch []*outboxEntry, settled []model.Settled) {
	ctx, cancel := context.WithTimeout(n.ctx, outboxTimeout)
	defer cancel()
	taken, err := postAndWait(ctx, n, func(r chan<- bool) event { return completionsReceived{settled: settled, result: r} })
	n.post(deliveryReturned{to: to, batch: batch, ok: err == nil && taken})
}

// deliveryReturned is the result of the delivery of a batch.
type deliveryReturned struct {
	to    string
	batch []*outboxEntry
	ok    bool
}

func (e deliveryReturned) apply(l *loop) {
	o := l.outbox
	delete(o.inFlight, e.to)
	if !e.ok {
		o.queue = append(o.queue, e.batch...)
		return
	}
	for _, s := range e.batch {
		o.releaseAtPool(s)
	}
}

// EndedReply is the reply to EndedArgs. Taken is false if the receiver does not
// serve all the shards.
type EndedReply struct {
	Header
	Taken bool
}
