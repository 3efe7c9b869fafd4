package scheduler

import "github.com/agateyard/agateyard/internal/job"

type task struct {
	stage         *stage
	index         int
	done          bool
	inheritedRuns int8          // runs that may exist on inherited runners, for which the tenant is charged
	runs          int32         // runs that may exist, including copies and those that are being stopped
	current       *run          // run that is to complete the task; nil if it has none
	lastRun       int           // highest run number known, also of adopted runs
	failedRuns    []int         // numbers of the failed runs
	checkpoint    string        // last checkpoint
	crashes       []job.Crash   // losses of runners that it, or the gang whose first task it is, may have caused
	crashVersion  int64         // version of the job that has to be durable before the task, or its gang, starts again
	avoidRunner   string        // runner of the last run that failed or was refused; others are preferred
	lastFailure   *failedRun    // nil if no run has failed lately
	failures      *taskFailures // since its last success; nil if there are none
}

func (t *task) id() job.TaskID {
	return job.TaskID{StepID: t.stage.id, Index: t.index}
}

func (t *task) waiting() bool {
	return !t.done && t.current == nil
}
