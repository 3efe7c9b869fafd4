package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Schedule issues all grants that are possible now: first within the flood
// shares, then beyond them where that does no harm. It stops early when
// nothing has changed since the last call.
func (p *Pool) Schedule(now time.Time) []AssignedGrant {
	p.expireGrants(now)
	out := p.scheduleProbes(now, nil)
	p.collect(false)
	out = p.grantCandidates(now, out, false)
	p.collect(true)
	return p.grantCandidates(now, out, true)
}

// collect gathers the classes that may get a grant in the pass. Only work held
// back by its flood share takes part in the borrowing pass.
func (p *Pool) collect(borrow bool) {
	p.candidates = p.candidates[:0]
	for _, c := range p.classOrder {
		if c.wanted == 0 || !c.template.known {
			continue
		}
		if borrow != (c.blocked == blockedShare && c.blockedAt == p.version) {
			continue
		}
		if !borrow && c.blocked != notBlocked && c.blockedAt == p.version {
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
			share := c.next()
			g := p.issue(now, c.key, share.source.id, p.cfg.GrantTTL)
			p.attach(g, share)
			out = append(out, AssignedGrant{To: g.to, Grant: g.grant})
			if c.wanted > 0 {
				continue
			}
		}
		last := len(p.candidates) - 1
		p.candidates[i] = p.candidates[last]
		p.candidates = p.candidates[:last]
	}
	return out
}

// firstCandidate returns the index of the candidate that is served next.
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

// precedes is the order of service: the most urgent; then the workspace
// furthest under its weighted share; then the template that fills its flood
// share least; then age; at equal age the larger task, because small
// tasks placed first leave no room for large ones.
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
		fa, fb := ta.filling(total), tb.filling(total)
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
// or records why it can't.
func (p *Pool) grantOne(now time.Time, c *demandClass, borrow bool) bool {
	t := c.template
	if borrow && !p.mayBorrow(now, t, c.need) {
		return false
	}
	if !borrow && !p.withinShare(t, c.need) {
		c.block(blockedShare, now, p.version)
		return false
	}
	if !borrow && !p.keepsReserves(t, c.need) {
		c.block(blockedReserve, now, p.version)
		return false
	}
	if !p.place(t, c.key.resources, c.key.tasks, c) {
		// A borrower that finds no room is still held back by its share.
		if !borrow {
			c.block(blockedRoom, now, p.version)
		}
		return false
	}
	c.unblock()
	return true
}
