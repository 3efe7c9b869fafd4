package pool

import "github.com/agateyard/agateyard/internal/model"

// smallPool is the number of endpoints up to which a plain scan beats the grid
// and its memory.
const smallPool = 64

// freeIndex finds endpoints by free capacity.
type freeIndex interface {
	// update adds, moves or (with present false) removes an endpoint.
	update(e *endpointState, present bool)
	// best returns the endpoint that the task should go to, or nil.
	best(need model.Resources, f *placeFilter) *endpointState
}

// placeFilter narrows the endpoints for a task.
type placeFilter struct {
	class      *demandClass   // may use endpoints earmarked for it
	urgency    int            // may use endpoints earmarked for less urgent work
	generation uint64         // when not 0, leaves out endpoints marked with it
	spread     *templateState // when not nil, leaves out endpoints with a replica of it
}

func (f *placeFilter) allows(e *endpointState) bool {
	if e.earmark != nil && e.earmark != f.class && e.earmark.template.Urgency >= f.urgency {
		return false
	}
	if f.generation != 0 && e.mark == f.generation {
		return false
	}
	return f.spread == nil || e.services[f.spread] == 0
}

// leftover is the cost of placing a task where free would be left, as a sum of
// shares of scale. Lower is a better fit.
func leftover(free, scale model.Resources) float64 {
	return ratio(free.CoresMilli, scale.CoresMilli) + ratio(free.MemoryMB, scale.MemoryMB)
}

func ratio(a, b int64) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}
