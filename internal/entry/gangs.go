package entry

import (
	"context"
	"time"

	"github.com/agateyard/agateyard/internal/balance"
	"github.com/agateyard/agateyard/internal/model"
)

// gangRetryInterval is the time between two tries to place a gang over several
// pools. It exceeds the round trips to the pools' owners, which hold their parts
// meanwhile.
const gangRetryInterval = 200 * time.Millisecond

// gangs places gangs that fit no single pool. Parts are held pool by pool in the
// order of their names, the same for all shard owners, so that two gangs never
// wait for each other; either all parts are bound or all are returned.
type gangs struct {
	l       *loop
	placing map[model.TemplateID]bool
	next    map[model.TemplateID]time.Time
}

func newGangs(l *loop) *gangs {
	return &gangs{l: l, placing: make(map[model.TemplateID]bool), next: make(map[model.TemplateID]time.Time)}
}

// place tries to place one gang of the demand. The summaries are ordered by pool.
func (g *gangs) place(now time.Time, d model.Demand, summaries []model.PoolSummary) {
	if g.placing[d.Template] || now.Before(g.next[d.Template]) {
		return
	}
	g.next[d.Template] = now.Add(gangRetryInterval)
	parts := balance.SplitGang(d, summaries)
	if len(parts) == 0 {
		return
	}
	g.placing[d.Template] = true
	go g.l.n.holdParts(g.l.view, d, parts)
}

// holdParts holds all parts of a gang and hands them to the loop, or returns
// those that it got.
func (n *Node) holdParts(v model.View, d model.Demand, parts []balance.GangPart) {
	ctx, cancel := context.WithTimeout(n.ctx, resolveTimeout)
	defer cancel()
	placed := gangHeld{template: d.Template, complete: true}
	for _, part := range parts {
		grant, held := n.hold(ctx, v, d, part)
		if !held {
			placed.complete = false
			break
		}
		placed.grants = append(placed.grants, grant)
	}
	n.post(placed)
}

func (n *Node) hold(ctx context.Context, v model.View, d model.Demand, part balance.GangPart) (model.Grant, bool) {
	args := HoldArgs{Header: n.header(), Pool: part.Pool, Template: d.Template, Resources: d.Resources, Tasks: part.Tasks}
	owner := v.PoolOwner(part.Pool)
	if owner == n.self.Incarnation {
		reply, err := n.holdLocal(ctx, args)
		return reply.Grant, err == nil && reply.Held
	}
	var reply HoldReply
	err := n.peers.call(ctx, owner, connControl, "Pool.Hold", args, &reply)
	if err != nil {
		return model.Grant{}, false
	}
	n.observe(reply.Header)
	return reply.Grant, reply.Held
}

// gangHeld is the result of holding the parts of a gang.
type gangHeld struct {
	template model.TemplateID
	grants   []model.Grant
	complete bool
}

func (e gangHeld) apply(l *loop) {
	delete(l.gangs.placing, e.template)
	if !e.complete {
		l.returnGrants(e.grants)
		return
	}
	l.bindGrants(e.grants)
}
