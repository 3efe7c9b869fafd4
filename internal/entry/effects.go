package entry

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
	"github.com/agateyard/agateyard/internal/timeline"
)

// applyShard executes the effects that the shard table returned.
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
	l.acks.confirmWhenDurable(e.Acks)
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

// startAttempts dispatches starts, one dispatch per grant.
func (l *loop) startAttempts(starts []shard.Start) {
	byGrant := make(map[GrantRef][]shard.Start)
	var grantOrder []GrantRef
	for _, s := range starts {
		ref := GrantRef{Pool: s.Grant.Pool, ID: s.Grant.ID}
		if _, ok := byGrant[ref]; !ok {
			grantOrder = append(grantOrder, ref)
		}
		byGrant[ref] = append(byGrant[ref], s)
	}
	for _, ref := range grantOrder {
		l.dispatches.start(byGrant[ref])
	}
}

// returnGrants returns unused grants to their pool owners.
func (l *loop) returnGrants(grants []model.Grant) {
	byOwner := make(map[string][]GrantRef)
	for _, g := range grants {
		byOwner[g.Owner] = append(byOwner[g.Owner], GrantRef{Pool: g.Pool, ID: g.ID})
	}
	for owner, refs := range byOwner {
		if owner == l.n.self.Incarnation {
			l.releaseGrants(refs)
			continue
		}
		l.n.start("Pool.Return", func() { l.n.sendReturns(owner, refs) })
	}
}

// releaseGrants releases unused grants of local pools.
func (l *loop) releaseGrants(grants []GrantRef) {
	now := l.now()
	for _, g := range grants {
		if p, ok := l.pools[g.Pool]; ok {
			p.pool.Return(now, g.ID)
			p.dirty = true
		}
	}
}

// bindGrants binds each grant to the currently best job and returns those that
// no job can use.
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

// cancelAttempts requests pool owners to stop attempts. The requests are repeated
// until the completions are known.
func (l *loop) cancelAttempts(cancels []shard.CancelAttempt) {
	if len(cancels) == 0 {
		return
	}
	l.stopRetrier.add(l.now(), cancels)
	byPool := make(map[model.PoolID][]model.AttemptID)
	for _, c := range cancels {
		byPool[c.Pool] = append(byPool[c.Pool], c.Attempt)
	}
	l.requestStops(byPool)
}

// requestStops sends stop requests. Those for attempts whose pool is unknown go
// to all known pools.
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
		l.n.start("Pool.Stop", func() { l.n.sendStops(owner, id, attempts) })
	}
}

// stopAttempts cancels attempts of a local pool.
func (l *loop) stopAttempts(id model.PoolID, attempts []model.AttemptID) {
	p, ok := l.pools[id]
	if !ok {
		return
	}
	now := l.now()
	for _, a := range attempts {
		command, known := p.pool.Cancel(now, a)
		if !known {
			continue
		}
		if client, ok := p.client(command.Endpoint); ok {
			l.n.start("cancel", func() { l.n.cancelAttempt(p, client, command) })
		}
	}
}

// settleOrForward applies completions of attempts of shards that this process
// serves, and forwards those of shards that have moved to the new owner.
func (l *loop) settleOrForward(settled []model.Settled) {
	now := l.now()
	for _, s := range settled {
		if !l.takeover.acceptsCompletion(s.Attempt) {
			l.outbox.enqueue(nil, "", s)
			continue
		}
		l.settleLocal(now, s)
	}
}

// settleLocal applies the completion of an attempt of a shard that this process
// serves.
func (l *loop) settleLocal(now time.Time, s model.Settled) {
	delete(l.dispatches.unresolved, s.Attempt)
	l.stopRetrier.remove(s.Attempt)
	l.applyShard(l.table.Settle(now, s))
}
