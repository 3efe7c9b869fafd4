package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// maxBorrowRelease is the upper bound of the average time until one of the
// template's running tasks completes and frees capacity. It is half of the delay
// that a flood may add to urgent work (20 ms).
const maxBorrowRelease = 10 * time.Millisecond

// shareTolerance absorbs rounding when shares are compared.
const shareTolerance = 1e-9

// withinFloodShare reports whether the template may hold need in addition to what
// it holds without exceeding its flood share. A template that holds nothing may
// always have one grant, so that rounding in a small pool doesn't starve it.
func (p *Pool) withinFloodShare(t *templateState, need model.Resources) bool {
	if t.taskCount == 0 {
		return true
	}
	return t.charged.Add(need).DominantShare(p.total()) <= t.FloodShare+shareTolerance
}

// respectsReserves reports whether need leaves free what is reserved for other
// templates. If the reserves are so large that a template that holds nothing
// could not get a single grant even in an empty pool, that grant is allowed.
func (p *Pool) respectsReserves(t *templateState, need model.Resources) bool {
	total := p.total()
	var gap, full model.Resources
	for _, other := range p.templatesWithReserve {
		if other == t {
			continue
		}
		gap = gap.Add(other.unusedReserve(total))
		full = full.Add(other.reserveSize(total))
	}
	if maskUnrequested(need.Add(gap), need).Fits(p.free()) {
		return true
	}
	return t.taskCount == 0 && !maskUnrequested(need.Add(full), need).Fits(total)
}

// mayBorrow reports whether the template may hold need beyond its flood share.
// Only work that ends soon or can be stopped may, and only while the capacity
// that others have reserved, or have recently used within their own shares,
// stays free. That way they find capacity when their load returns.
func (p *Pool) mayBorrow(now time.Time, t *templateState, need model.Resources) bool {
	if !p.reclaimable(t) {
		return false
	}
	total := p.total()
	required := need
	for _, other := range p.templateOrder {
		if other == t || !other.known {
			continue
		}
		required = required.Add(p.expectedDemand(now, other, total))
	}
	return maskUnrequested(required, need).Fits(p.free())
}

// expectedDemand returns the capacity that a template may soon need beyond what
// it holds.
func (p *Pool) expectedDemand(now time.Time, t *templateState, total model.Resources) model.Resources {
	recent := minResources(t.recentPeak(now, p.cfg.PeakDecay), t.floodLimit(total))
	recent = maxResources(model.Resources{}, recent.Sub(t.charged))
	return maxResources(recent, t.unusedReserve(total))
}

// reclaimable reports whether capacity lent to the template is freed soon.
func (p *Pool) reclaimable(t *templateState) bool {
	if t.Idempotent && !isRunnerPool(p.id) {
		return true
	}
	if !t.runTimes.sufficient() || t.runTimes.highEstimate() > p.cfg.ShortRun {
		return false
	}
	return t.runTimes.average() <= maxBorrowRelease*time.Duration(t.taskCount+1)
}
