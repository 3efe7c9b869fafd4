package scheduler

import (
	"math"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

type jobState struct {
	spec              job.Spec
	acceptedAt        int64 // Unix milliseconds
	arrivedAt         time.Duration
	finalState        job.State
	finishedAt        int64
	stored            bool     // the acceptance is durable
	excess            bool     // beyond its tenant's rate
	excessWaiting     bool     // the same, and not started
	inherited         bool     // restored from a predecessor's record; the predecessor may have started tasks
	started           bool     // a runner has taken the start of a task
	stages            []*stage // stages of occurrences that are due or have progress
	openedOccurrences int      // number of occurrences that openOccurrence has opened
	doneOccurrences   int
	version           int64 // incremented with each change of the durable state
	durable           int64 // last durable version
	objective         time.Duration
	queue             Queue
	settings          *job.QueueSettings // of the queue, as stored
	tenant            *tenantState       // nil without a tenant
	runs, gangRuns    int32              // runs that may exist, by whether they are members of a gang
	recorded          *recordedSize      // of a job that a predecessor has finished; nil otherwise
}

func (j *jobState) state() job.State {
	switch {
	case j.finalState != "":
		return j.finalState
	case j.started:
		return job.Running
	default:
		return job.Queued
	}
}

// criticalPath returns the run time of the longest dependency chain among the steps with index from or higher, including
// those that don't depend on the step from.
func criticalPath(spec *job.Spec, from int, runtime func(*job.Step) time.Duration) time.Duration {
	longest := make([]time.Duration, len(spec.Steps))
	var best time.Duration
	for i := from; i < len(spec.Steps); i++ {
		var before time.Duration
		for _, dependency := range spec.Steps[i].After {
			before = max(before, longest[dependency])
		}
		longest[i] = before + runtime(&spec.Steps[i])
		best = max(best, longest[i])
	}
	return best
}

// runTimePredictor returns a function that predicts the run time of a step's tasks in a queue.
func (s *Scheduler) runTimePredictor(queue string) func(*job.Step) time.Duration {
	m := s.runtimeModels[queue]
	return func(step *job.Step) time.Duration {
		if m == nil {
			return step.EstimatedRunTime()
		}
		return m.predict(step.EstimatedRunTime())
	}
}

// runtimeSpreadOf returns the distribution of run times around the prediction in a queue.
func (s *Scheduler) runtimeSpreadOf(queue string) runtimeSpread {
	if m := s.runtimeModels[queue]; m != nil {
		return m.spread
	}
	return runtimeSpread{}
}

// expectedRunTime returns the predicted run time of a stage's tasks.
func (s *Scheduler) expectedRunTime(st *stage) time.Duration {
	return s.runTimePredictor(st.job.spec.Queue)(st.step)
}

// expectedEnd returns when a run is expected to end.
func (s *Scheduler) expectedEnd(x *run) time.Duration {
	return x.startSentAt + s.onRunner(s.expectedRunTime(x.task.stage), x.runner)
}

// onRunner scales a run time to the speed of a runner.
func (s *Scheduler) onRunner(runtime time.Duration, r *runner) time.Duration {
	if slowness := s.slownessOf(r); slowness != 0 {
		return time.Duration(float64(runtime) * math.Exp(slowness))
	}
	return runtime
}

// objectiveOf returns the time within which the job has to complete to have its full value.
func (s *Scheduler) objectiveOf(spec *job.Spec, q *Queue) time.Duration {
	work := criticalPath(spec, 0, s.runTimePredictor(q.Name))
	if q.Advice != nil {
		work += time.Duration(len(spec.Steps)) * q.Advice.CallDuration(initialAdviceRunners)
	}
	return time.Duration(float64(work)*q.Stretch) + q.Objective
}
