package scheduler

import "github.com/agateyard/agateyard/internal/model"

// bestFit returns the runner on which the task leaves the fewest cores unused, with penalties for avoided and remote
// runners and, by costs or for urgent work, for the speed of runners. It returns nil if no runner has capacity; avoided is true if
// the only ones that have are those where the task has failed lately.
func (s *Scheduler) bestFit(st *stage, t *task, need model.Resources, candidates []*runner, costs *speedCosts) (best *runner, avoided bool) {
	bestCost := int64(0)
	runtime := s.expectedRunTime(st)
	// A failed run costs urgent work its objective, and others what a last attempt decides. Work with slack may use suspect
	// runners, which shows whether they have recovered.
	lastAttempt := st.isLastAttempt(t)
	avoidSuspects := st.job.queue.Priority == urgentPriority || lastAttempt
	failedLately := t.lastFailure != nil
	why := s.riskOf(t)
	anywhere := why != noRisk && s.mayRunAnywhere(st, why, candidates)
	shared := s.mayShare(st, why)
	for _, r := range candidates {
		if !need.Fits(r.free()) || !s.mayPlace(st, r, s.onRunner(runtime, r)) {
			continue
		}
		health := s.admissionOf(t, r)
		if health == notAdmitted || !s.admitsRisk(r, why, anywhere, shared) {
			continue
		}
		if st.step.MaxPerRunner > 0 && st.runsOn(r) >= st.step.MaxPerRunner {
			continue
		}
		if failedLately && s.avoids(t, r) {
			avoided = true
			continue
		}
		cost := r.free().CoresMilli - need.CoresMilli
		if costs != nil {
			cost += costs.of(r)
		} else if st.job.queue.Priority == urgentPriority {
			cost += int64(slownessCost * r.speed.slowness())
		}
		if why != noRisk {
			cost = s.riskCost(r)
		}
		if r.ID == t.avoidRunner {
			cost += avoidedRunnerCost
		} else if health == besideProbe || avoidSuspects && s.isSuspect(r, lastAttempt) {
			cost += suspectRunnerCost
		}
		if st.step.DataRack != "" && st.step.DataRack != r.Rack {
			cost += remoteRackCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = r, cost
		}
	}
	return best, avoided && best == nil
}

// riskCost returns the cost of placing a task that may crash its runner: the runs that would be lost with it count.
func (s *Scheduler) riskCost(r *runner) int64 {
	cost := r.used.CoresMilli
	if r.isolation == nil {
		cost += notIsolatedCost
	}
	if s.crashesByItself(r.Addr) {
		cost += suspectRunnerCost
	}
	return cost
}

const (
	// avoidedRunnerCost, suspectRunnerCost and remoteRackCost are added to the cores left unused, in millicores. They exceed
	// the size of any runner, so that such a runner is chosen only if no other has capacity.
	avoidedRunnerCost = 10_000_000
	suspectRunnerCost = 3_000_000
	remoteRackCost    = 1_000_000
	// notIsolatedCost is added for a task that may crash its runner on one that is not set apart.
	notIsolatedCost = 5_000_000
	// slownessCost is added for urgent work on a runner that is slower by a factor of e: 10 % of run time counts
	// about as much as 3 cores.
	slownessCost = 30_000
)
