package control

import (
	"context"
	"time"
)

const (
	// claimCheckInterval is how often an owner reads its claim. Its watch may be stalled, and the announcement of a
	// successor lost, while other calls to the store succeed. With unconfirmedLimit the owner ends within OwnerLease.
	claimCheckInterval = time.Second
	// claimCheckRetry is the pause after a read of the claim that failed.
	claimCheckRetry = 200 * time.Millisecond
)

// checkClaim reads the claim when a read is due. It runs in the event loop.
func (o *ownership) checkClaim() {
	if o.checkingClaim || o.loopTime < o.nextClaimCheck {
		return
	}
	o.checkingClaim = true
	asked := o.loopTime
	o.n.goProtected("claim check", func() {
		ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
		defer cancel()
		item, found, err := o.n.dep.Store.Get(ctx, ownerKey)
		o.n.recordStoreCall("get", err)
		if err == nil && (!found || item.Rev != o.info.Rev) {
			if found {
				o.n.applyOwnerItem(item)
			}
			o.stepDown("the store has another claim")
			return
		}
		o.post(func() {
			o.checkingClaim = false
			o.nextClaimCheck = o.loopTime + claimCheckRetry
			if err == nil {
				o.nextClaimCheck = asked + claimCheckInterval
				o.confirmedAt = max(o.confirmedAt, asked)
				o.fences.confirm(item.ReadRev)
				for id := range o.fences.wanted {
					o.tryRaiseFence(id) // otherwise after the next regular read
				}
			}
		})
	})
}

// confirmedByMembers reports whether a majority of the members has pinged this owner, as the owner of its term, recently by
// the given measure.
func (o *ownership) confirmedByMembers(recent func(receivedPing) bool) bool {
	members := o.n.view.memberList()
	o.mu.Lock()
	defer o.mu.Unlock()
	confirmed := 1
	for _, m := range members {
		if ping, ok := o.lastPings[m.Incarnation]; ok && recent(ping) {
			confirmed++
		}
	}
	return 2*confirmed > len(members)
}

// mayRefuse reports whether a refusal is certain: without contact to the members, or while the claim is being read again, a
// successor may have stored the job.
func (o *ownership) mayRefuse() bool {
	return !o.paused && o.confirmedByMembers(func(p receivedPing) bool { return p.recent(o.loopTime) })
}
