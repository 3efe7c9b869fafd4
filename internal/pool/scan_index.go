package pool

import "github.com/agateyard/agateyard/internal/model"

// scanIndex scans all endpoints. It is used for small pools.
type scanIndex struct {
	leastLoaded bool // choose the most free slots instead of the best fit
	endpoints   []*endpointState
	nextStart   int // start of the next scan, so that equally loaded runners are used round-robin
}

func (s *scanIndex) update(e *endpointState, present bool) {
	at := -1
	for i, known := range s.endpoints {
		if known == e {
			at = i
		}
	}
	switch {
	case present && at < 0:
		s.endpoints = append(s.endpoints, e)
	case !present && at >= 0:
		s.endpoints = append(s.endpoints[:at], s.endpoints[at+1:]...)
	}
}

func (s *scanIndex) best(need model.Resources, f *placeFilter) *endpointState {
	var best *endpointState
	n := len(s.endpoints)
	for i := range n {
		e := s.endpoints[(i+s.nextStart)%n]
		if !need.Fits(e.free()) || !f.allows(e) {
			continue
		}
		if best == nil || s.better(e, best) {
			best = e
		}
	}
	if s.leastLoaded && n > 0 {
		s.nextStart = (s.nextStart + 1) % n
	}
	return best
}

func (s *scanIndex) better(a, b *endpointState) bool {
	if s.leastLoaded {
		return a.free().Slots > b.free().Slots
	}
	fa, fb := a.free(), b.free()
	// Fewest free accelerators first, so that tasks without accelerators don't
	// take the cores and memory that accelerator tasks need.
	if fa.Accelerators != fb.Accelerators {
		return fa.Accelerators < fb.Accelerators
	}
	scale := maxResources(a.capacity, b.capacity)
	return fitCost(fa, scale) < fitCost(fb, scale)
}
