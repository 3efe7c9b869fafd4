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
}

func (t *task) id() job.TaskID {
	return job.TaskID{StepID: t.stage.id, Index: t.index}
}

func (t *task) waiting() bool {
	return !t.done && t.current == nil
}
