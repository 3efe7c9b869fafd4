package scheduler

import "time"

const (
	// initialAdviceRunners is the assumed number of runners in the calls for a stage, before any stage of its queue has been
	// placed. Job objectives include one call of this size for each step.
	initialAdviceRunners = 30
	// adviceCostWeight is the weight of one stage in the moving average of the cost.
	adviceCostWeight = 0.05
)

// adviceCostOf returns the expected duration of all advice calls of a stage in a queue.
func (s *Scheduler) adviceCostOf(queue string, policy *AdvicePolicy) time.Duration {
	if cost, measured := s.adviceCosts[queue]; measured {
		return cost
	}
	return policy.CallDuration(min(initialAdviceRunners, len(s.runners)))
}

// learnAdviceCost adds what the calls of a stage have taken.
func (s *Scheduler) learnAdviceCost(queue string, called time.Duration) {
	cost, measured := s.adviceCosts[queue]
	if !measured {
		s.adviceCosts[queue] = called
		return
	}
	s.adviceCosts[queue] = cost + time.Duration(adviceCostWeight*float64(called-cost))
}
