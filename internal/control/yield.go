package control

import (
	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/candidacy"
)

// yieldToFitter hands ownership over if a machine is available that can carry the cell far better. This happens if this
// process was the first to start, or if the other machines were unreachable when it took over.
func (o *ownership) yieldToFitter() {
	if !o.handover.Due(o.loopTime) || !o.n.health.stableFor(storeStableTime, o.loopTime) {
		return
	}
	self, load := o.n.self(), o.n.view.ownerLoad()
	members := map[string]Member{}
	var successors []candidacy.Successor
	o.mu.Lock()
	for _, m := range o.n.view.memberList() {
		ping, ok := o.lastPings[m.Incarnation]
		if !ok || ping.leaving || m.Leaving || !ping.recent(o.loopTime) {
			continue
		}
		members[m.Incarnation] = m
		successors = append(successors, candidacy.Successor{
			Candidate: m.candidate(), Present: o.loopTime - ping.since, Configured: ping.config > 0,
		})
	}
	o.mu.Unlock()
	best, ok := o.handover.Choose(self.candidate(), successors, load, o.info.Term, o.loopTime)
	if !ok {
		return
	}
	o.n.dep.Log.Log("yielding", logrus.Fields{
		"term": o.info.Term, "to": best.Address, "larger": len(successors), "weight": o.n.opt.Weight, "runners": load.Runners,
		"score": candidacy.Score(self.candidate().Machine, load), "better": candidacy.Score(best.Machine, load),
	})
	o.n.goProtected("handover", func() { o.n.handOver(o.ctx, o, []Member{members[best.Incarnation]}) })
}
