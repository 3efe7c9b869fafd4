package entry

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
	"github.com/agateyard/agateyard/internal/timeline"
)

// applyShard carries out what the shard table decided.
func (l *loop) applyShard(e shard.Effects) {
	l.appendRecords(e.Records)
	for _, a := range e.Answers {
		l.answer(a)
	}
	l.startAttempts(e.Starts)
	l.cancelAttempts(e.Cancels)
	l.returnGrants(e.Returns)
	for _, ev := range e.Events {
		l.n.recorder.Record(timeline.Event{Part: "shard", Name: ev.Name, Request: ev.Request, Attempt: ev.Attempt, Detail: ev.Detail})
	}
	l.acks.add(e.Acks)
	l.demandDirty = true
}

func (l *loop) answer(a shard.Answered) {
	w, ok := l.waiters[a.Waiter]
	if !ok {
		return
	}
	delete(l.waiters, a.Waiter)
	delete(l.waiterIDs, w)
	w <- a.Reply
}

// startAttempts dispatches starts, those of one grant together.
func (l *loop) startAttempts(starts []shard.Start) {
	byGrant := make(map[GrantRef][]shard.Start)
	var order []GrantRef
	for _, s := range starts {
		ref := GrantRef{Pool: s.Grant.Pool, ID: s.Grant.ID}
		if _, ok := byGrant[ref]; !ok {
			order = append(order, ref)
		}
		byGrant[ref] = append(byGrant[ref], s)
	}
	for _, ref := range order {
		l.dispatches.start(byGrant[ref])
	}
}

// returnGrants gives unused grants back to their pool owners.
func (l *loop) returnGrants(grants []model.Grant) {
	byOwner := make(map[string][]GrantRef)
	for _, g := range grants {
		byOwner[g.Owner] = append(byOwner[g.Owner], GrantRef{Pool: g.Pool, ID: g.ID})
	}
	for owner, refs := range byOwner {
		if owner == l.n.self.Incarnation {
			l.takeBack(refs)
			continue
		}
		go l.n.sendReturns(owner, refs)
	}
}

// takeBack frees unused grants of own pools.
func (l *loop) takeBack(grants []GrantRef) {
	now := l.now()
	for _, g := range grants {
		if p, ok := l.pools[g.Pool]; ok {
			p.pool.Return(now, g.ID)
			p.dirty = true
		}
	}
}

// bindGrants gives each grant to the best job at this moment.
func (l *loop) bindGrants(grants []model.Grant) {
	now := l.now()
	var unused []model.Grant
	for _, g := range grants {
		e, ok := l.table.Bind(now, g)
		if !ok {
			unused = append(unused, g)
		}
		l.applyShard(e)
	}
	l.returnGrants(unused)
}

// cancelAttempts asks pool owners to stop attempts, until their ends are known.
func (l *loop) cancelAttempts(cancels []shard.CancelAttempt) {
	if len(cancels) == 0 {
		return
	}
	l.stops.add(l.now(), cancels)
	byPool := make(map[model.PoolID][]model.AttemptID)
	for _, c := range cancels {
		byPool[c.Pool] = append(byPool[c.Pool], c.Attempt)
	}
	l.requestStops(byPool)
}

// requestStops sends the requests. Attempts of an unknown pool go to all pools.
func (l *loop) requestStops(byPool map[model.PoolID][]model.AttemptID) {
	if len(byPool) == 0 {
		return
	}
	if unknown := byPool[""]; len(unknown) > 0 {
		for id := range l.summaries {
			byPool[id] = append(byPool[id], unknown...)
		}
	}
	delete(byPool, "")
	for id, attempts := range byPool {
		owner := l.view.PoolOwner(id)
		if owner == l.n.self.Incarnation {
			l.stopAttempts(id, attempts)
			continue
		}
		go l.n.sendStops(owner, id, attempts)
	}
}

// stopAttempts cancels attempts of an own pool.
func (l *loop) stopAttempts(id model.PoolID, attempts []model.AttemptID) {
	p, ok := l.pools[id]
	if !ok {
		return
	}
	now := l.now()
	for _, a := range attempts {
		order, known := p.pool.Cancel(now, a)
		if !known {
			continue
		}
		if client, ok := p.client(order.Endpoint); ok {
			go l.n.cancelAttempt(p, client, order)
		}
	}
}

// settleOrForward takes the ends of attempts of held shards; those of shards
// that have moved go to their new owner.
func (l *loop) settleOrForward(settled []model.Settled) {
	now := l.now()
	for _, s := range settled {
		if !l.takeover.settles(s.Attempt) {
			l.outbox.add(nil, "", s)
			continue
		}
		l.settleShard(now, s)
	}
}

// settleShard takes the end of an attempt of a held shard.
func (l *loop) settleShard(now time.Time, s model.Settled) {
	delete(l.dispatches.lost, s.Attempt)
	l.stops.ended(s.Attempt)
	l.applyShard(l.table.Settle(now, s))
}
