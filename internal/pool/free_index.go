package pool

import "github.com/agateyard/agateyard/internal/model"

// maxScanEndpoints is the number of endpoints up to which a linear scan is
// preferred to the grid, which needs more memory.
const maxScanEndpoints = 64

// freeIndex finds endpoints by free capacity.
type freeIndex interface {
	// update adds, moves or (with present false) removes an endpoint.
	update(e *endpointState, present bool)
	// best returns the endpoint on which the task should be placed, or nil.
	best(need model.Resources, f *placeFilter) *endpointState
}

// placeFilter restricts the endpoints on which a task may be placed.
type placeFilter struct {
	class            *demandClass   // may use endpoints reserved for it
	urgency          int            // may use endpoints reserved for less urgent work
	excludePlacement uint64         // if not 0, excludes endpoints already used by this placement
	antiAffinity     *templateState // if not nil, excludes endpoints with a replica of this service
}

func (f *placeFilter) allows(e *endpointState) bool {
	if e.reservedFor != nil && e.reservedFor != f.class && e.reservedFor.template.Urgency >= f.urgency {
		return false
	}
	if f.excludePlacement != 0 && e.lastPlacement == f.excludePlacement {
		return false
	}
	return f.antiAffinity == nil || e.serviceReplicas[f.antiAffinity] == 0
}

// fitCost returns the best-fit cost of an endpoint: the sum of its free cores and
// memory as fractions of scale. Lower is better. Free capacity before or after the
// placement of the task gives the same order.
func fitCost(free, scale model.Resources) float64 {
	return ratio(free.CoresMilli, scale.CoresMilli) + ratio(free.MemoryMB, scale.MemoryMB)
}

func ratio(a, b int64) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}
