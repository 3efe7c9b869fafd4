package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Schedule issues all grants that are possible now: first within the flood
// shares, then beyond them by borrowing. In the first pass a blocked class is not
// tried again before the version has advanced.
func (p *Pool) Schedule(now time.Time) []AssignedGrant {
	p.expireGrants(now)
	out := p.scheduleProbes(now, nil)
	p.collect(false)
	out = p.grantCandidates(now, out, false)
	p.collect(true)
	return p.grantCandidates(now, out, true)
}

// collect gathers the classes that may get a grant in the pass. Only classes
// blocked by their flood share take part in the borrowing pass.
func (p *Pool) collect(borrow bool) {
	p.candidates = p.candidates[:0]
	for _, c := range p.classOrder {
		if c.grantsNeeded == 0 || !c.template.known {
			continue
		}
		if borrow != (c.blocked == blockedFloodShare && c.blockedVersion == p.version) {
			continue
		}
		if !borrow && c.blocked != notBlocked && c.blockedVersion == p.version {
			continue
		}
		p.candidates = append(p.candidates, c)
	}
}

// grantCandidates issues grants to the candidates in order until none is left
// that can get one.
func (p *Pool) grantCandidates(now time.Time, out []AssignedGrant, borrow bool) []AssignedGrant {
	for len(p.candidates) > 0 {
		i := p.firstCandidate()
		c := p.candidates[i]
		if p.grantOne(now, c, borrow) {
			od := c.nextDemand()
			g := p.issueGrant(now, c.key, od.source.id, p.cfg.GrantTTL)
			p.attachDemand(g, od)
			out = append(out, AssignedGrant{To: g.shardOwner, Grant: g.grant})
			if c.grantsNeeded > 0 {
				continue
			}
		}
		last := len(p.candidates) - 1
		p.candidates[i] = p.candidates[last]
		p.candidates = p.candidates[:last]
	}
	return out
}

// firstCandidate returns the index of the candidate that gets the next grant.
func (p *Pool) firstCandidate() int {
	total := p.total()
	first := 0
	for i := 1; i < len(p.candidates); i++ {
		if precedes(p.candidates[i], p.candidates[first], total) {
			first = i
		}
	}
	return first
}

// precedes defines the scheduling order: the most urgent class; then the
// workspace with the lowest weighted share; then the template that uses the
// smallest part of its flood share; then the oldest unit; at equal age the larger
// grant, because small tasks placed first leave no capacity for large ones.
func precedes(a, b *demandClass, total model.Resources) bool {
	ta, tb := a.template, b.template
	if ta.Urgency != tb.Urgency {
		return ta.Urgency > tb.Urgency
	}
	if ta.workspace != tb.workspace {
		sa, sb := ta.workspaceShare(total), tb.workspaceShare(total)
		if sa != sb {
			return sa < sb
		}
	}
	if ta != tb {
		fa, fb := ta.floodShareUsed(total), tb.floodShareUsed(total)
		if fa != fb {
			return fa < fb
		}
	}
	if !a.oldest.Equal(b.oldest) {
		return a.oldest.Before(b.oldest)
	}
	return a.need.DominantShare(total) > b.need.DominantShare(total)
}

// grantOne checks the limits and places one grant of the class into p.chosen,
// or records what blocks the class.
func (p *Pool) grantOne(now time.Time, c *demandClass, borrow bool) bool {
	t := c.template
	if borrow && !p.mayBorrow(now, t, c.need) {
		return false
	}
	if !borrow && !p.withinFloodShare(t, c.need) {
		c.block(blockedFloodShare, now, p.version)
		return false
	}
	if !borrow && !p.respectsReserves(t, c.need) {
		c.block(blockedReserve, now, p.version)
		return false
	}
	if !p.place(t, c.key.resources, c.key.tasks, c) {
		// A class that finds no capacity to borrow stays blocked by its flood share.
		if !borrow {
			c.block(blockedCapacity, now, p.version)
		}
		return false
	}
	c.unblock()
	return true
}
