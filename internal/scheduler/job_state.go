package scheduler

import (
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

type jobState struct {
	spec      job.Spec
	accepted  int64 // Unix milliseconds
	arrived   time.Duration
	final     job.State
	finished  int64
	stored    bool // the acceptance is durable
	restored  bool // taken over from a predecessor, who may have started some of it
	begun     bool
	stages    []*stage // of occurrences that are due or have progress
	openedOcc int      // occurrences that have been opened
	doneOcc   int
	version   int64 // counts changes of the durable state
	durable   int64 // last version that is durable
	objective time.Duration
	queue     Queue
}

func (j *jobState) state() job.State {
	switch {
	case j.final != "":
		return j.final
	case j.begun:
		return job.Running
	default:
		return job.Queued
	}
}

// chain returns the longest chain of run times from the given step on, that step included.
func chain(spec *job.Spec, from int, runtime func(*job.Step) time.Duration) time.Duration {
	longest := make([]time.Duration, len(spec.Steps))
	var best time.Duration
	for i := from; i < len(spec.Steps); i++ {
		var before time.Duration
		for _, earlier := range spec.Steps[i].After {
			before = max(before, longest[earlier])
		}
		longest[i] = before + runtime(&spec.Steps[i])
		best = max(best, longest[i])
	}
	return best
}

// predictor returns the run time that is expected of a step's tasks in a queue.
func (s *Scheduler) predictor(queue string) func(*job.Step) time.Duration {
	m := s.models[queue]
	return func(step *job.Step) time.Duration {
		if m == nil {
			return step.EstimatedRunTime()
		}
		return m.predict(step.EstimatedRunTime())
	}
}

// expectedRun returns the run time that is expected of a stage's tasks.
func (s *Scheduler) expectedRun(st *stage) time.Duration {
	return s.predictor(st.job.spec.Queue)(st.step)
}

// expectedEnd returns when a run is expected to end.
func (s *Scheduler) expectedEnd(x *run) time.Duration {
	return x.ordered + s.expectedRun(x.task.stage)
}

// objectiveOf returns the time within which the job has to be done to count in full.
func (s *Scheduler) objectiveOf(spec *job.Spec, q *Queue) time.Duration {
	work := chain(spec, 0, s.predictor(q.Name))
	if q.Advice != nil {
		const adviceRunners = 30 // the objective counts one call about this many runners a step
		work += time.Duration(len(spec.Steps)) * q.Advice.CallDuration(adviceRunners)
	}
	return time.Duration(float64(work)*q.Stretch) + q.Objective
}
