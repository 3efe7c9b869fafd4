package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// summaryCache holds the last summary, which is reused until something changes.
type summaryCache struct {
	summary model.PoolSummary
	changes uint64
}

// Summary returns the summary for gossip. Its version is incremented only if the
// content differs from the last summary.
func (p *Pool) Summary(now time.Time) model.PoolSummary {
	cached := &p.summary
	if cached.summary.Version > 0 && cached.changes == p.changes {
		return cached.summary
	}
	s := p.summarize()
	s.Version = cached.summary.Version
	if s != cached.summary {
		s.Version++
	}
	cached.summary = s
	cached.changes = p.changes
	return s
}

func (p *Pool) summarize() model.PoolSummary {
	s := model.PoolSummary{Pool: p.id, Owner: p.owner, Total: p.activeCapacity}
	for _, e := range p.ordered {
		if !e.active {
			continue
		}
		free := maxResources(model.Resources{}, e.free())
		s.Endpoint++
		s.Free = s.Free.Add(free)
		s.Largest = maxResources(s.Largest, free)
		s.Biggest = maxResources(s.Biggest, e.capacity)
	}
	for _, c := range p.classOrder {
		s.Waiting += c.grantsNeeded * c.key.tasks
	}
	return s
}
