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
	oldest       time.Time // estimated arrival of the oldest waiting job

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
func (s *ownerDemand) grantsNeeded() int {
	if s.source.suspended {
		return 0
	}
	return max(0, s.count-s.outstanding)
}

// nextArrival estimates when the next job without a grant arrived, on the
// assumption that jobs arrived evenly since the oldest one.
func (s *ownerDemand) nextArrival() time.Time {
	if s.count <= 0 {
		return s.oldest
	}
	span := s.reportedAt.Sub(s.oldest)
	return s.oldest.Add(span * time.Duration(s.outstanding) / time.Duration(s.count))
}

// refresh recomputes the totals of the class.
func (c *demandClass) refresh() {
	c.grantsNeeded = 0
	c.oldest = time.Time{}
	for _, s := range c.demands {
		n := s.grantsNeeded()
		if n == 0 {
			continue
		}
		c.grantsNeeded += n
		if arrival := s.nextArrival(); c.oldest.IsZero() || arrival.Before(c.oldest) {
			c.oldest = arrival
		}
	}
	if c.grantsNeeded == 0 {
		c.blocked = notBlocked
		c.blockedSince = time.Time{}
	}
}

// nextOwner returns the shard owner that gets the next grant: the one with the
// oldest job.
func (c *demandClass) nextOwner() *ownerDemand {
	var best *ownerDemand
	for _, s := range c.demands {
		if s.grantsNeeded() > 0 && (best == nil || s.nextArrival().Before(best.nextArrival())) {
			best = s
		}
	}
	return best
}

// demandFrom returns the demand of the shard owner in the class, or nil.
func (c *demandClass) demandFrom(from *demandSource) *ownerDemand {
	for _, s := range c.demands {
		if s.source == from {
			return s
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
