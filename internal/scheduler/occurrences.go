package scheduler

import (
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// openDueOccurrences opens the occurrences of scheduled jobs that are due.
func (s *Scheduler) openDueOccurrences() {
	keep := s.scheduledJobs[:0]
	for _, j := range s.scheduledJobs {
		if j.finalState != "" {
			continue
		}
		for j.openedOccurrences < j.spec.OccurrenceCount() && j.mayOpenOccurrence() && !s.wall.Before(j.spec.DueAt(j.openedOccurrences)) {
			s.openOccurrence(j, j.openedOccurrences)
		}
		if j.openedOccurrences < j.spec.OccurrenceCount() {
			keep = append(keep, j)
		}
	}
	s.scheduledJobs = keep
}

// mayOpenOccurrence reports whether another occurrence may be opened. If many are due at once, such as after a start time
// long ago, they run one after the other: open at the same time, their tasks would take all memory of the owner.
func (j *jobState) mayOpenOccurrence() bool {
	tasks := 0
	for i := range j.spec.Steps {
		tasks += j.spec.Steps[i].Count
	}
	unfinished := max(j.openedOccurrences-j.doneOccurrences, 0)
	return unfinished == 0 || (unfinished+1)*tasks <= job.MaxTasks
}

// openOccurrence creates the stages of one occurrence and opens those whose dependencies are done.
func (s *Scheduler) openOccurrence(j *jobState, occurrence int) {
	j.openedOccurrences = max(j.openedOccurrences, occurrence+1)
	for i := range j.spec.Steps {
		st := s.stageOf(j, occurrence, i)
		if !st.finished() && s.dependenciesDone(st) {
			s.openStage(st)
		}
	}
}

func (s *Scheduler) stageOf(j *jobState, occurrence, step int) *stage {
	id := job.StepID{Job: j.spec.ID, Occurrence: occurrence, Step: step}
	st := s.stages[id]
	if st == nil {
		st = newStage(j, id)
		st.remainingPath = criticalPath(&j.spec, step, s.runTimePredictor(j.spec.Queue))
		s.stages[id] = st
		j.stages = append(j.stages, st)
		s.chargeInheritedStage(st)
		s.updateLoad(st, len(st.tasks))
	}
	return st
}

// dependenciesDone reports whether all steps that the stage depends on are done.
func (s *Scheduler) dependenciesDone(st *stage) bool {
	for _, dependency := range st.step.After {
		if !s.stageOf(st.job, st.id.Occurrence, dependency).finished() {
			return false
		}
	}
	return true
}

func (s *Scheduler) openStage(st *stage) {
	if st.open {
		return
	}
	st.open = true
	s.openStages = append(s.openStages, st)
	s.updateDemand(st)
	s.recordArrival(st)
	s.needsPass = true
}

// stageDone opens the stages that depended on a finished stage and completes the occurrence with its last stage.
func (s *Scheduler) stageDone(st *stage) {
	st.open = false
	st.claims = nil
	s.updateDemand(st)
	s.updateLoad(st, 0)
	s.removeClosedStages()
	j := st.job
	for i := st.id.Step + 1; i < len(j.spec.Steps); i++ {
		next := s.stageOf(j, st.id.Occurrence, i)
		if !next.finished() && s.dependenciesDone(next) {
			s.openStage(next)
		}
	}
	for i := range j.spec.Steps {
		if !s.stageOf(j, st.id.Occurrence, i).finished() {
			return
		}
	}
	s.occurrenceDone(j, st.id.Occurrence)
}

func (s *Scheduler) occurrenceDone(j *jobState, occurrence int) {
	j.doneOccurrences++
	if j.doneOccurrences == j.spec.OccurrenceCount() {
		s.finish(j, job.Done, "all tasks are done")
	}
}

// objectiveStart returns the time at which the objective of a stage's occurrence starts to count.
func (st *stage) objectiveStart(wall time.Time, now time.Duration) time.Duration {
	if st.job.spec.Occurrences == 0 {
		return st.job.arrivedAt
	}
	return now - wall.Sub(st.job.spec.DueAt(st.id.Occurrence))
}
