package entry

import (
	"testing"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// Guards against a drained endpoint that gets work again after a restart of the process,
// which owns its pool before it has read the drains.
func TestNoGrantsBeforeTheDrainsAreRead(t *testing.T) {
	n := ownerNode(t)
	l, id := n.loop, model.PoolID("worker/z/r")
	p, now := l.pools[id], l.now()
	p.pool.SetTemplates(now, l.templates)
	p.pool.NextSession(now, "a")
	p.pool.HandleSessionReply(l.now(), "a", now, endpoint.SessionReply{Instance: "i", Kind: "worker", Capacity: model.Resources{CoresMilli: 10}})
	demand := model.Demand{Template: model.TemplateID{Workspace: "w", Name: "job"}, Resources: model.Resources{CoresMilli: 1}, Tasks: 1, Count: 1}
	l.acceptDemand("peer", 1, []PoolDemand{{Pool: id, Demands: []model.Demand{demand}}})
	hold := make(chan HoldReply, 2)
	request := reserveRequest{args: HoldArgs{Pool: id, Template: demand.Template, Resources: demand.Resources, Tasks: 1}, result: hold}
	l.schedulePools()
	request.apply(l)
	if free := p.pool.Summary(now).Free.CoresMilli; free != 10 || (<-hold).Held {
		t.Errorf("%d milli-cores free before the drains are read, want 10", free)
	}
	n.config.OfferAll(nil)
	l.schedulePools()
	request.apply(l)
	if free := p.pool.Summary(now).Free.CoresMilli; free != 8 || !(<-hold).Held {
		t.Errorf("%d milli-cores free, want 8", free)
	}
}
