package scheduler

import (
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// stage is one occurrence of a step of a job.
type stage struct {
	id                 job.StepID
	job                *jobState
	step               *job.Step
	tasks              []*task
	doneCount          int
	open               bool // the steps that it depends on are done, and it is not finished
	reservedCount      int  // number of reserved runs
	advice             stageAdvice
	wait               stageWait
	load               stageLoad
	heldSince          time.Duration   // since when claims of gangs keep it from room that is free; 0 if they don't
	claims             []gangPlacement // room that a gang has claimed
	gangRunners        []*runner       // runners on which this owner has started a gang
	apart              bool            // has waiting tasks that may crash their runner, as of the last pass
	isolatedOnlySince  time.Duration   // since when it fits on runners that are set apart only; 0 if it fits elsewhere
	needsIsolated      bool            // it may use runners that are set apart for others
	failures           stageFailures   // since the last success
	mostlyAccused      bool            // most of the runners that it may use are accused, as of the last pass
	lacksSound         bool            // it lacks runners that are not accused, as of the last pass
	notIsolatedSince   time.Duration   // since when no runner that is set apart is eligible; 0 if one is
	notIsolatedAt      time.Duration   // when that was last checked
	nextPreemption     time.Duration   // earliest time to look for runs to preempt again
	requested          int32           // tasks that count in the demand of the job's tenant
	runSeconds         float32         // expected run time of a task when it was first counted there
	preemptionDeadline time.Duration   // when the runs preempted for reserved runs should have ended; 0 if none were
	remainingPath      time.Duration   // expected run time of the longest dependency chain among this and all later steps of the job
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
	return st.doneCount == len(st.tasks)
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
	for _, x := range r.runs { // including copies and runs that are being stopped
		if x.task.stage == st {
			n++
		}
	}
	return n
}
