package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// blockReason says why a class got no grant.
type blockReason int

const (
	notBlocked     blockReason = iota
	blockedRoom                // no endpoints with enough free capacity
	blockedReserve             // what is free is reserved for others
	blockedShare               // flood share used up
)

// demandClass is the demand of all shard owners for grants that are all alike.
type demandClass struct {
	key      classKey
	template *templateState
	need     model.Resources // of the whole grant
	shares   []*classShare   // by time of first demand

	wanted int       // grants that may be issued now
	oldest time.Time // estimated arrival of the oldest waiting job

	blocked   blockReason
	blockedAt uint64    // version of the pool at the last failure
	since     time.Time // when room was first missing; zero when it is not
}

// classShare is the demand of one shard owner in a class.
type classShare struct {
	source      *demandSource
	class       *demandClass
	count       int // jobs that wait and are not dispatched
	outstanding int // grants under way for them
	oldest      time.Time
	told        time.Time // time of the last demand message
}

// wanted returns how many grants may be issued to the shard owner.
func (s *classShare) wanted() int {
	if s.source.muted {
		return 0
	}
	return max(0, s.count-s.outstanding)
}

// age estimates the arrival of the next job, as if arrivals were spread evenly
// since the oldest.
func (s *classShare) age() time.Time {
	if s.count <= 0 {
		return s.oldest
	}
	span := s.told.Sub(s.oldest)
	return s.oldest.Add(span * time.Duration(s.outstanding) / time.Duration(s.count))
}

// refresh recomputes the sums of the class.
func (c *demandClass) refresh() {
	c.wanted = 0
	c.oldest = time.Time{}
	for _, s := range c.shares {
		n := s.wanted()
		if n == 0 {
			continue
		}
		c.wanted += n
		if age := s.age(); c.oldest.IsZero() || age.Before(c.oldest) {
			c.oldest = age
		}
	}
	if c.wanted == 0 {
		c.blocked = notBlocked
		c.since = time.Time{}
	}
}

// next returns the shard owner that gets the next grant: the one with the
// oldest job.
func (c *demandClass) next() *classShare {
	var best *classShare
	for _, s := range c.shares {
		if s.wanted() > 0 && (best == nil || s.age().Before(best.age())) {
			best = s
		}
	}
	return best
}

// share returns the demand of the shard owner in the class, or nil.
func (c *demandClass) share(from *demandSource) *classShare {
	for _, s := range c.shares {
		if s.source == from {
			return s
		}
	}
	return nil
}

// block records why the class got no grant.
func (c *demandClass) block(reason blockReason, now time.Time, version uint64) {
	c.blocked = reason
	c.blockedAt = version
	missing := reason == blockedRoom || reason == blockedReserve
	if !missing {
		c.since = time.Time{}
		return
	}
	if c.since.IsZero() {
		c.since = now
	}
}

// unblock records that the class got a grant.
func (c *demandClass) unblock() {
	c.blocked = notBlocked
	c.since = time.Time{}
}
