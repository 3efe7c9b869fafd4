package pool

import "github.com/agateyard/agateyard/internal/model"

// planStep is how one waiting task could be placed.
type planStep struct {
	endpoint *endpointState
	former   bool // the endpoint was kept for the class already
	victims  []*attemptState
}

// cheaper reports whether the step harms running work less than o.
func (s planStep) cheaper(o planStep) bool {
	if a, b := s.worst(), o.worst(); a != b {
		return a < b
	}
	if len(s.victims) != len(o.victims) {
		return len(s.victims) < len(o.victims)
	}
	if s.former != o.former {
		return s.former
	}
	return false
}

// worst returns the urgency of the most urgent victim, -1 without one.
func (s planStep) worst() int {
	worst := -1
	for _, a := range s.victims {
		worst = max(worst, a.template.Urgency)
	}
	return worst
}

// prune drops the victims that later ones made unnecessary, most urgent first.
func (s *planStep) prune(room, need model.Resources) {
	for i := len(s.victims) - 1; i >= 0; i-- {
		without := room.Sub(s.victims[i].resources)
		if need.Fits(without) {
			room = without
			s.victims = append(s.victims[:i], s.victims[i+1:]...)
		}
	}
}

// apply books the step, so that later steps see what is left. Its victims are
// not chosen again.
func (s planStep) apply(r model.Resources) {
	for _, a := range s.victims {
		a.stage = stageThrottled
		s.endpoint.credit(a.resources)
	}
	s.endpoint.debit(r)
}

// undoSteps takes back steps of a grant that can't be placed in full.
func undoSteps(steps []planStep, r model.Resources) {
	for _, s := range steps {
		for _, a := range s.victims {
			a.stage = stageNone
			s.endpoint.debit(a.resources)
		}
		s.endpoint.credit(r)
	}
}
