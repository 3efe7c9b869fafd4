package pool

import "github.com/agateyard/agateyard/internal/model"

// scanIndex looks at every endpoint. It serves small pools.
type scanIndex struct {
	leastLoaded bool // choose the greatest number of free slots in place of the best fit
	endpoints   []*endpointState
	turn        int // start of the next scan, so that equal runners take turns
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
		e := s.endpoints[(i+s.turn)%n]
		if !need.Fits(e.free()) || !f.allows(e) {
			continue
		}
		if best == nil || s.better(e, best) {
			best = e
		}
	}
	if s.leastLoaded && n > 0 {
		s.turn = (s.turn + 1) % n
	}
	return best
}

func (s *scanIndex) better(a, b *endpointState) bool {
	if s.leastLoaded {
		return a.free().Slots > b.free().Slots
	}
	fa, fb := a.free(), b.free()
	// Fewest free accelerators first: work that needs none must not strand them.
	if fa.Accelerators != fb.Accelerators {
		return fa.Accelerators < fb.Accelerators
	}
	scale := maxResources(a.capacity, b.capacity)
	return leftover(fa, scale) < leftover(fb, scale)
}
