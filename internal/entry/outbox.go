package entry

import (
	"context"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	outboxRetryInterval = 500 * time.Millisecond
	// outboxTimeout exceeds a write of the journal, which the receiver waits for.
	outboxTimeout = 3 * time.Second
	// confirmTimeout is how long the confirmation of an end may take before the
	// end is delivered once more.
	confirmTimeout = 5 * time.Second
	// outboxKeep is how long an end is offered to a shard owner that can't be
	// reached. A later owner asks by Pool.Attempts instead.
	outboxKeep = 60 * time.Second
)

// settlement is the end of an attempt on its way to a shard owner.
type settlement struct {
	pool    *ownedPool // nil for an end that is passed on
	to      string     // shard owner that dispatched; for identifiers without a shard
	settled model.Settled
	since   time.Time
}

// outbox delivers the ends of attempts from the own pools to shard owners and
// tells the pools what has arrived.
type outbox struct {
	l        *loop
	waiting  []*settlement
	inFlight map[string]bool // by receiver
	retryAt  time.Time
	replied  map[model.AttemptID]*settlement // ends that went with the reply of a dispatch
	order    []repliedEnd
}

func newOutbox(l *loop) *outbox {
	return &outbox{l: l, inFlight: make(map[string]bool), replied: make(map[model.AttemptID]*settlement)}
}

// add queues the end of an attempt.
func (o *outbox) add(p *ownedPool, to string, settled model.Settled) {
	o.waiting = append(o.waiting, &settlement{pool: p, to: to, settled: settled, since: o.l.now()})
	o.retryAt = time.Time{}
}

// confirmLater queues an end that went with the reply of a dispatch. It is
// delivered again unless the shard owner confirms it first.
func (o *outbox) confirmLater(p *ownedPool, settled model.Settled) {
	now := o.l.now()
	o.replied[settled.Attempt] = &settlement{pool: p, settled: settled, since: now}
	o.order = append(o.order, repliedEnd{attempt: settled.Attempt, due: now.Add(confirmTimeout)})
}

// pending reports whether an end waits to be sent.
func (o *outbox) pending() bool { return len(o.waiting) > 0 }

// forget drops ends that are confirmed.
func (o *outbox) forget(attempts []model.AttemptID) {
	for _, a := range attempts {
		delete(o.replied, a)
	}
}

// requeue delivers ends again that were not confirmed in time.
func (o *outbox) requeue(now time.Time) {
	for len(o.order) > 0 && !now.Before(o.order[0].due) {
		a := o.order[0].attempt
		o.order = o.order[1:]
		if s, ok := o.replied[a]; ok {
			delete(o.replied, a)
			o.waiting = append(o.waiting, s)
		}
	}
}

// repliedEnd is an end that waits for its confirmation.
type repliedEnd struct {
	attempt model.AttemptID
	due     time.Time
}

// retry sends what waits, one batch per receiver at a time.
func (o *outbox) retry(now time.Time) {
	o.requeue(now)
	if len(o.waiting) == 0 || now.Before(o.retryAt) {
		return
	}
	o.retryAt = now.Add(outboxRetryInterval)
	batches := make(map[string][]*settlement)
	var keep []*settlement
	for _, s := range o.waiting {
		to := o.receiver(s)
		if now.Sub(s.since) > outboxKeep {
			o.done(s)
			continue
		}
		if to == "" || o.inFlight[to] {
			keep = append(keep, s)
			continue
		}
		batches[to] = append(batches[to], s)
	}
	o.waiting = keep
	for to, batch := range batches {
		o.send(to, batch)
	}
}

// receiver is the present owner of the attempt's shard: state may have moved
// since the dispatch.
func (o *outbox) receiver(s *settlement) string {
	shard, ok := s.settled.Attempt.Shard()
	if !ok {
		return s.to
	}
	return o.l.view.ShardOwner(shard)
}

func (o *outbox) send(to string, batch []*settlement) {
	settled := make([]model.Settled, len(batch))
	for i, s := range batch {
		settled[i] = s.settled
	}
	o.inFlight[to] = true
	if to == o.l.n.self.Incarnation {
		go o.l.n.deliverLocal(to, batch, settled)
		return
	}
	n := o.l.n
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, outboxTimeout)
		defer cancel()
		var reply EndedReply
		err := n.peers.call(ctx, to, connControl, "Shard.Ended", EndedArgs{Header: n.header(), Settled: settled}, &reply)
		if err == nil {
			n.observe(reply.Header)
		}
		n.post(endedSent{to: to, batch: batch, ok: err == nil && reply.Taken})
	}()
}

// done confirms delivery to the pool.
func (o *outbox) done(s *settlement) {
	if s.pool == nil {
		return
	}
	s.pool.pool.MarkDelivered(o.l.now(), []model.AttemptID{s.settled.Attempt})
}

// deliverLocal delivers a batch to the own shard table and waits for the journal.
func (n *Node) deliverLocal(to string, batch []*settlement, settled []model.Settled) {
	ctx, cancel := context.WithTimeout(n.ctx, outboxTimeout)
	defer cancel()
	taken, err := ask(ctx, n, func(r chan<- bool) event { return endsArrived{settled: settled, result: r} })
	n.post(endedSent{to: to, batch: batch, ok: err == nil && taken})
}

// endedSent is the result of delivering a batch.
type endedSent struct {
	to    string
	batch []*settlement
	ok    bool
}

func (e endedSent) apply(l *loop) {
	o := l.outbox
	delete(o.inFlight, e.to)
	if !e.ok {
		o.waiting = append(o.waiting, e.batch...)
		return
	}
	for _, s := range e.batch {
		o.done(s)
	}
}

// EndedReply answers EndedArgs. Taken is false when the receiver does not own
// the shards yet.
type EndedReply struct {
	Header
	Taken bool
}
