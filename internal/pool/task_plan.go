package pool

import "github.com/agateyard/agateyard/internal/model"

// taskPlan is a possible placement of one waiting task.
type taskPlan struct {
	endpoint    *endpointState
	wasReserved bool            // the endpoint was already reserved for the class
	preempt     []*attemptState // attempts that have to be preempted
}

// lessDisruptive reports whether the plan is preferred to o. The first difference
// decides: a less urgent most urgent attempt to be preempted, fewer attempts to be
// preempted, an endpoint that was already reserved.
func (plan taskPlan) lessDisruptive(o taskPlan) bool {
	if a, b := plan.highestUrgency(), o.highestUrgency(); a != b {
		return a < b
	}
	if len(plan.preempt) != len(o.preempt) {
		return len(plan.preempt) < len(o.preempt)
	}
	if plan.wasReserved != o.wasReserved {
		return plan.wasReserved
	}
	return false
}

// highestUrgency returns the urgency of the most urgent attempt to be preempted,
// or -1 if there is none.
func (plan taskPlan) highestUrgency() int {
	highest := -1
	for _, a := range plan.preempt {
		highest = max(highest, a.template.Urgency)
	}
	return highest
}

// dropUnneeded removes the attempts whose preemption is not needed after all,
// because attempts added later free enough. It starts with the most urgent.
func (plan *taskPlan) dropUnneeded(free, need model.Resources) {
	for i := len(plan.preempt) - 1; i >= 0; i-- {
		without := free.Sub(plan.preempt[i].resources)
		if need.Fits(without) {
			free = without
			plan.preempt = append(plan.preempt[:i], plan.preempt[i+1:]...)
		}
	}
}

// apply records the plan in the endpoint, so that later plans see the remaining
// capacity. Its attempts are not selected again.
func (plan taskPlan) apply(r model.Resources) {
	for _, a := range plan.preempt {
		a.stage = stageThrottled
		plan.endpoint.planRelease(a.resources)
	}
	plan.endpoint.planUse(r)
}

// undoPlans reverts the plans for a grant that can't be placed in full.
func undoPlans(plans []taskPlan, r model.Resources) {
	for _, plan := range plans {
		for _, a := range plan.preempt {
			a.stage = stageNone
			plan.endpoint.planUse(a.resources)
		}
		plan.endpoint.planRelease(r)
	}
}
