package scheduler

import "github.com/agateyard/agateyard/internal/job"

type task struct {
	stage       *stage
	index       int
	done        bool
	current     *run   // run that is to complete the task; nil if it has none
	lastRun     int    // highest run number known, also of adopted runs
	failedRuns  []int  // numbers of the failed runs
	checkpoint  string // last checkpoint
	avoidRunner string // runner of the last run that failed or was refused
	runs        int    // runs that may exist, including copies and those that are being stopped
	// inheritedRuns is for how many runs that may exist on inherited runners the tenant is charged.
	inheritedRuns int
}

func (t *task) id() job.TaskID {
	return job.TaskID{StepID: t.stage.id, Index: t.index}
}

func (t *task) waiting() bool {
	return !t.done && t.current == nil
}
