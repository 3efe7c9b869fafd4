package entry

import (
	"context"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	outboxRetryInterval = 500 * time.Millisecond
	outboxTimeout       = time.Second
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
}

func newOutbox(l *loop) *outbox {
	return &outbox{l: l, inFlight: make(map[string]bool)}
}

// add queues the end of an attempt.
func (o *outbox) add(p *ownedPool, to string, settled model.Settled) {
	o.waiting = append(o.waiting, &settlement{pool: p, to: to, settled: settled, since: o.l.now()})
	o.retryAt = time.Time{}
}

// retry sends what waits, one batch per receiver at a time.
func (o *outbox) retry(now time.Time) {
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
	if to == o.l.n.self.Incarnation {
		if !o.l.acceptSettled(settled) {
			o.waiting = append(o.waiting, batch...)
			return
		}
		for _, s := range batch {
			o.done(s)
		}
		return
	}
	o.inFlight[to] = true
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
	s.pool.pool.Delivered(o.l.now(), []model.AttemptID{s.settled.Attempt})
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
