package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// blockReason says why a class got no grant.
type blockReason int

const (
	notBlocked        blockReason = iota
	blockedCapacity               // no endpoint has enough free capacity
	blockedReserve                // the free capacity is reserved for other templates
	blockedFloodShare             // flood share used up
)

// demandClass is the demand of all shard owners for interchangeable grants: those
// of one template, task size and number of tasks.
type demandClass struct {
	key      classKey
	template *templateState
	need     model.Resources // of the whole grant
	demands  []*ownerDemand  // by time of first demand

	grantsNeeded int       // grants that may be issued now
	oldest       time.Time // estimated arrival of the oldest unit without a grant

	blocked        blockReason
	blockedVersion uint64    // version of the pool at the last failure
	blockedSince   time.Time // since when capacity is missing; zero when it is not
}

// ownerDemand is the demand of one shard owner in a class.
type ownerDemand struct {
	source      *demandSource
	class       *demandClass
	count       int // units that are not dispatched; see SetDemand
	outstanding int // grants issued for them and not closed
	oldest      time.Time
	reportedAt  time.Time // time of the last demand message
}

// grantsNeeded returns how many grants may be issued to the shard owner.
func (od *ownerDemand) grantsNeeded() int {
	if od.source.suspended {
		return 0
	}
	return max(0, od.count-od.outstanding)
}

// nextArrival estimates when the next unit without a grant arrived, on the
// assumption that units arrived evenly since the oldest one.
func (od *ownerDemand) nextArrival() time.Time {
	if od.count <= 0 {
		return od.oldest
	}
	span := od.reportedAt.Sub(od.oldest)
	return od.oldest.Add(span * time.Duration(od.outstanding) / time.Duration(od.count))
}

// refresh recomputes the totals of the class.
func (c *demandClass) refresh() {
	c.grantsNeeded = 0
	c.oldest = time.Time{}
	for _, od := range c.demands {
		n := od.grantsNeeded()
		if n == 0 {
			continue
		}
		c.grantsNeeded += n
		if arrival := od.nextArrival(); c.oldest.IsZero() || arrival.Before(c.oldest) {
			c.oldest = arrival
		}
	}
	if c.grantsNeeded == 0 {
		c.blocked = notBlocked
		c.blockedSince = time.Time{}
	}
}

// nextDemand returns the demand that gets the next grant: the one whose next unit
// has waited longest, by nextArrival. It returns nil if no grant may be issued.
func (c *demandClass) nextDemand() *ownerDemand {
	var best *ownerDemand
	for _, od := range c.demands {
		if od.grantsNeeded() > 0 && (best == nil || od.nextArrival().Before(best.nextArrival())) {
			best = od
		}
	}
	return best
}

// demandFrom returns the demand of the shard owner in the class, or nil.
func (c *demandClass) demandFrom(from *demandSource) *ownerDemand {
	for _, od := range c.demands {
		if od.source == from {
			return od
		}
	}
	return nil
}

// block records why the class got no grant.
func (c *demandClass) block(reason blockReason, now time.Time, version uint64) {
	c.blocked = reason
	c.blockedVersion = version
	noCapacity := reason == blockedCapacity || reason == blockedReserve
	if !noCapacity {
		c.blockedSince = time.Time{}
		return
	}
	if c.blockedSince.IsZero() {
		c.blockedSince = now
	}
}

// unblock records that the class got a grant.
func (c *demandClass) unblock() {
	c.blocked = notBlocked
	c.blockedSince = time.Time{}
}
