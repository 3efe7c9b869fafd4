package pool

import "github.com/agateyard/agateyard/internal/model"

// taskPlan is a possible placement of one waiting task.
type taskPlan struct {
	endpoint    *endpointState
	wasReserved bool            // the endpoint was already reserved for the class
	preempt     []*attemptState // attempts that have to be preempted
}

// lessDisruptive reports whether the plan is preferred to o: its most urgent
// preempted attempt is less urgent, or it preempts fewer attempts, or its endpoint
// was already reserved.
func (s taskPlan) lessDisruptive(o taskPlan) bool {
	if a, b := s.highestUrgency(), o.highestUrgency(); a != b {
		return a < b
	}
	if len(s.preempt) != len(o.preempt) {
		return len(s.preempt) < len(o.preempt)
	}
	if s.wasReserved != o.wasReserved {
		return s.wasReserved
	}
	return false
}

// highestUrgency returns the urgency of the most urgent attempt to be preempted,
// or -1 if there is none.
func (s taskPlan) highestUrgency() int {
	highest := -1
	for _, a := range s.preempt {
		highest = max(highest, a.template.Urgency)
	}
	return highest
}

// dropUnneeded removes the attempts whose preemption is not needed after all,
// because attempts added later free enough. It starts with the most urgent.
func (s *taskPlan) dropUnneeded(free, need model.Resources) {
	for i := len(s.preempt) - 1; i >= 0; i-- {
		without := free.Sub(s.preempt[i].resources)
		if need.Fits(without) {
			free = without
			s.preempt = append(s.preempt[:i], s.preempt[i+1:]...)
		}
	}
}

// apply records the plan in the endpoint, so that later plans see the remaining
// capacity. Its attempts are not selected again.
func (s taskPlan) apply(r model.Resources) {
	for _, a := range s.preempt {
		a.stage = stageThrottled
		s.endpoint.planRelease(a.resources)
	}
	s.endpoint.planUse(r)
}

// undoPlans reverts the plans for a grant that can't be placed in full.
func undoPlans(plans []taskPlan, r model.Resources) {
	for _, s := range plans {
		for _, a := range s.preempt {
			a.stage = stageNone
			s.endpoint.planUse(a.resources)
		}
		s.endpoint.planRelease(r)
	}
}
