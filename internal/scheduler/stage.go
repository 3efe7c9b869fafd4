package scheduler

import (
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// stage is one occurrence of a step of a job.
type stage struct {
	id        job.StepID
	job       *jobState
	step      *job.Step
	tasks     []*task
	doneN     int
	open      bool // its turn has come
	held      int  // runs whose room is charged and whose ticket is on its way
	advice    stageAdvice
	claim     []*runner     // runners that a gang gathers room on
	preemptAt time.Duration // earliest time to look for runs to preempt again
	roomBy    time.Duration // the runs that were preempted for held runs are over by then; 0 if none were
	rest      time.Duration // declared chain of work from here on
}

func newStage(j *jobState, id job.StepID) *stage {
	st := &stage{id: id, job: j, step: &j.spec.Steps[id.Step]}
	st.tasks = make([]*task, st.step.Count)
	for i := range st.tasks {
		st.tasks[i] = &task{stage: st, index: i}
	}
	return st
}

func (st *stage) finished() bool {
	return st.doneN == len(st.tasks)
}

// idle reports whether no task of the stage has a run.
func (st *stage) idle() bool {
	for _, t := range st.tasks {
		if t.current != nil {
			return false
		}
	}
	return true
}

func (st *stage) waitingTasks() int {
	n := 0
	for _, t := range st.tasks {
		if t.waiting() {
			n++
		}
	}
	return n
}

// runsOn counts the runs of the stage on a runner.
func (st *stage) runsOn(r *runner) int {
	n := 0
	for _, x := range r.runs { // also those that are being stopped, and copies
		if x.task.stage == st {
			n++
		}
	}
	return n
}
