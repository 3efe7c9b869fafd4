package scheduler

import "time"

// stageLoad is what a stage contributes to the pending load.
type stageLoad struct {
	key       loadKey
	work      int64         // millicores times milliseconds
	advice    time.Duration // expected advice calls
	perTask   int64         // work of one task, predicted when it was first counted
	counted   bool          // perTask is set
	called    time.Duration // expected duration of the advice calls made so far
	allPlaced bool          // all tasks have started once; what later runs need is small
}

// unlearnedDiscount divides declared run times until the run times of a queue are learned: they are too long by up to a
// factor of e^0.9, and a new owner must not refuse work because of them.
const unlearnedDiscount = 2.5

// updateLoad accounts for a change in what a stage contributes to the pending load, with the number of tasks that wait.
// Long-running tasks don't count, as their end isn't known.
func (s *Scheduler) updateLoad(st *stage, waiting int) {
	l := &st.load
	if !l.counted {
		l.counted = true
		l.perTask = s.taskWork(st)
	}
	key := loadKey{st.job.queue.Service, st.job.queue.Priority}
	var work int64
	var advice time.Duration
	if st.job.finalState == "" && !st.finished() {
		work = int64(waiting) * l.perTask
		if policy := st.job.queue.Advice; policy != nil && !l.allPlaced {
			advice = max(s.adviceCostOf(st.job.spec.Queue, policy)-l.called, 0)
		}
	}
	if key == l.key && work == l.work && advice == l.advice {
		return
	}
	s.load.add(l.key, -l.work, -l.advice)
	l.key, l.work, l.advice = key, work, advice
	s.load.add(key, work, advice)
}

// taskWork returns the predicted work of a task in millicores times milliseconds.
func (s *Scheduler) taskWork(st *stage) int64 {
	if st.step.LongRunning {
		return 0
	}
	runtime := s.expectedRunTime(st)
	if m := s.runtimeModels[st.job.spec.Queue]; m == nil || m.n < minModelRuns {
		runtime = time.Duration(float64(runtime) / unlearnedDiscount)
	}
	return st.step.Reserved().CoresMilli * runtime.Milliseconds()
}

// recordPlaced records that no task of a stage waits and none is reserved, and learns what its advice took.
func (s *Scheduler) recordPlaced(st *stage) {
	l := &st.load
	if l.allPlaced || st.reservedCount > 0 {
		return
	}
	l.allPlaced = true
	if st.job.queue.Advice != nil && l.called > 0 {
		s.learnAdviceCost(st.job.spec.Queue, l.called)
	}
}
