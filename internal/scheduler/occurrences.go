package scheduler

import (
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// openDue opens the occurrences of scheduled jobs whose time has come.
func (s *Scheduler) openDue() {
	keep := s.timed[:0]
	for _, j := range s.timed {
		if j.final != "" {
			continue
		}
		for j.openedOcc < j.spec.OccurrenceCount() && !s.wall.Before(j.spec.DueAt(j.openedOcc)) {
			s.openOccurrence(j, j.openedOcc)
		}
		if j.openedOcc < j.spec.OccurrenceCount() {
			keep = append(keep, j)
		}
	}
	s.timed = keep
}

// openOccurrence creates the stages of one occurrence and opens those that wait for nothing.
func (s *Scheduler) openOccurrence(j *jobState, occurrence int) {
	j.openedOcc = max(j.openedOcc, occurrence+1)
	for i := range j.spec.Steps {
		st := s.stageOf(j, occurrence, i)
		if !st.finished() && s.turnHasCome(st) {
			s.openStage(st)
		}
	}
}

func (s *Scheduler) stageOf(j *jobState, occurrence, step int) *stage {
	id := job.StepID{Job: j.spec.ID, Occurrence: occurrence, Step: step}
	st := s.stages[id]
	if st == nil {
		st = newStage(j, id)
		st.rest = chain(&j.spec, step, s.predictor(j.spec.Queue))
		s.stages[id] = st
		j.stages = append(j.stages, st)
	}
	return st
}

// turnHasCome reports whether all steps that the stage waits for are done.
func (s *Scheduler) turnHasCome(st *stage) bool {
	for _, earlier := range st.step.After {
		if !s.stageOf(st.job, st.id.Occurrence, earlier).finished() {
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
	s.open = append(s.open, st)
	s.needsPass = true
}

// stageDone opens what waited for a stage and ends the job with its last one.
func (s *Scheduler) stageDone(st *stage) {
	st.open = false
	st.claim = nil
	s.dropClosed()
	j := st.job
	for i := st.id.Step + 1; i < len(j.spec.Steps); i++ {
		next := s.stageOf(j, st.id.Occurrence, i)
		if !next.finished() && s.turnHasCome(next) {
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
	j.doneOcc++
	if j.doneOcc == j.spec.OccurrenceCount() {
		s.finish(j, job.Done, "all tasks are done")
	}
}

// arrivedAt returns the time from which the objective of a stage's occurrence counts.
func (st *stage) arrivedAt(wall time.Time, now time.Duration) time.Duration {
	if st.job.spec.Occurrences == 0 {
		return st.job.arrived
	}
	return now - wall.Sub(st.job.spec.DueAt(st.id.Occurrence))
}
