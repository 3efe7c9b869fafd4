package control

import "github.com/sirupsen/logrus"

// yieldToLarger hands ownership over if a machine with at least largerMachineRatio times the weight of this one is
// available. This happens if this process was the first to start, or if the larger machines were unreachable when it took
// over.
func (o *ownership) yieldToLarger() {
	if o.loopTime < o.nextYieldCheck || !o.n.health.stableFor(storeStableTime, o.loopTime) {
		return
	}
	o.nextYieldCheck = o.loopTime + yieldInterval
	var larger []Member
	o.mu.Lock()
	for _, m := range o.n.view.memberList() {
		ping, ok := o.lastPings[m.Incarnation]
		if ok && !ping.leaving && ping.recent(o.loopTime) && m.Weight >= largerMachineRatio*o.n.opt.Weight {
			larger = append(larger, m)
		}
	}
	o.mu.Unlock()
	if len(larger) == 0 {
		return
	}
	o.n.dep.Log.Log("yielding", logrus.Fields{"term": o.info.Term, "weight": o.n.opt.Weight, "larger": len(larger)})
	o.n.goProtected("handover", func() { o.n.handOver(o.ctx, o, larger) })
}
