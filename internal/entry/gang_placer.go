package entry

import (
	"context"
	"time"

	"github.com/agateyard/agateyard/internal/balance"
	"github.com/agateyard/agateyard/internal/model"
)

// gangRetryInterval is the time between two tries to place a gang across
// several pools. It exceeds the round trips to the pool owners, which reserve
// their parts in the meantime.
const gangRetryInterval = 200 * time.Millisecond

// gangPlacer places gangs that do not fit in a single pool. It reserves the parts
// one pool after another in order of the pool names. All shard owners use this
// order, so that two gangs never deadlock. Either all parts are bound or all are
// returned.
type gangPlacer struct {
	l       *loop
	placing map[model.TemplateID]bool
	nextTry map[model.TemplateID]time.Time
}

func newGangPlacer(l *loop) *gangPlacer {
	return &gangPlacer{l: l, placing: make(map[model.TemplateID]bool), nextTry: make(map[model.TemplateID]time.Time)}
}

// place tries to place one gang of the demand. The summaries must be ordered by
// pool.
func (g *gangPlacer) place(now time.Time, d model.Demand, summaries []model.PoolSummary) {
	if g.placing[d.Template] || now.Before(g.nextTry[d.Template]) {
		return
	}
	g.nextTry[d.Template] = now.Add(gangRetryInterval)
	parts := balance.SplitGang(d, summaries)
	if len(parts) == 0 {
		return
	}
	g.placing[d.Template] = true
	view := g.l.view
	g.l.n.start("Pool.Hold", func() { g.l.n.reserveParts(view, d, parts) })
}

// reserveParts reserves the parts of a gang and posts the grants to the loop. It
// stops at the first part that can't be reserved.
func (n *Node) reserveParts(v model.View, d model.Demand, parts []balance.GangPart) {
	ctx, cancel := context.WithTimeout(n.ctx, resolveTimeout)
	defer cancel()
	result := gangReserved{template: d.Template, complete: true}
	for _, part := range parts {
		grant, reserved := n.reserve(ctx, v, d, part)
		if !reserved {
			result.complete = false
			break
		}
		result.grants = append(result.grants, grant)
	}
	n.post(result)
}

func (n *Node) reserve(ctx context.Context, v model.View, d model.Demand, part balance.GangPart) (model.Grant, bool) {
	args := HoldArgs{Header: n.header(), Pool: part.Pool, Template: d.Template, Resources: d.Resources, Tasks: part.Tasks}
	owner := v.PoolOwner(part.Pool)
	if owner == n.self.Incarnation {
		reply, err := n.reserveLocal(ctx, args)
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

// gangReserved is the result of reserving the parts of a gang.
type gangReserved struct {
	template model.TemplateID
	grants   []model.Grant
	complete bool
}

func (e gangReserved) apply(l *loop) {
	delete(l.gangPlacer.placing, e.template)
	if !e.complete {
		l.returnGrants(e.grants)
		return
	}
	l.bindGrants(e.grants)
}
