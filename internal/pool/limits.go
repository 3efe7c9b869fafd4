package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// borrowRelease is the greatest average time until a borrowed task ends by
// itself. It is half of what urgent work may lose to a flood (20 ms).
const borrowRelease = 10 * time.Millisecond

// shareSlack absorbs rounding when shares are compared.
const shareSlack = 1e-9

// withinShare reports whether the template may hold need more under its flood
// share. A template that holds nothing may always have one grant, so that
// rounding in a small pool starves nobody.
func (p *Pool) withinShare(t *templateState, need model.Resources) bool {
	if t.count == 0 {
		return true
	}
	return t.charged.Add(need).DominantShare(p.total()) <= t.FloodShare+shareSlack
}

// keepsReserves reports whether need leaves free what is reserved for other
// templates. Where the reserves leave no room for a single grant of an idle
// template even in an empty pool, that grant is allowed.
func (p *Pool) keepsReserves(t *templateState, need model.Resources) bool {
	total := p.total()
	var gap, full model.Resources
	for _, other := range p.reserving {
		if other == t {
			continue
		}
		gap = gap.Add(other.reserved(total))
		full = full.Add(other.reserveSize(total))
	}
	if onlyNeeded(need.Add(gap), need).Fits(p.free()) {
		return true
	}
	return t.count == 0 && !onlyNeeded(need.Add(full), need).Fits(total)
}

// mayBorrow reports whether the template may hold need beyond its flood share.
// Only work that is soon over or can be stopped may, and it leaves free what
// others have reserved or have used of late within their own shares, so that
// they find room when they come back.
func (p *Pool) mayBorrow(now time.Time, t *templateState, need model.Resources) bool {
	if !p.reclaimable(t) {
		return false
	}
	total := p.total()
	kept := need
	for _, other := range p.templateOrder {
		if other == t || !other.known {
			continue
		}
		kept = kept.Add(p.claim(now, other, total))
	}
	return onlyNeeded(kept, need).Fits(p.free())
}

// claim returns what a template may soon want beyond what it holds.
func (p *Pool) claim(now time.Time, t *templateState, total model.Resources) model.Resources {
	recent := minResources(t.recentPeak(now, p.cfg.PeakDecay), t.allowance(total))
	recent = maxResources(model.Resources{}, recent.Sub(t.charged))
	return maxResources(recent, t.reserved(total))
}

// reclaimable reports whether capacity lent to the template comes back soon.
func (p *Pool) reclaimable(t *templateState) bool {
	if t.Idempotent && !isRunnerPool(p.id) {
		return true
	}
	if !t.runTimes.usable() || t.runTimes.high() > p.cfg.ShortRun {
		return false
	}
	return t.runTimes.average() <= borrowRelease*time.Duration(t.count+1)
}
