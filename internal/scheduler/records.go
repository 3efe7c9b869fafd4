package scheduler

import (
	"slices"

	"github.com/agateyard/agateyard/internal/job"
)

// DirtyRecord is a job record that has to be written, with the version of the job's state that it contains.
type DirtyRecord struct {
	ID      string
	Version int64
	Record  *job.Record
}

// TakeDirty removes and returns up to limit changed records, urgent ones first. Jobs for which busy returns true are
// skipped.
func (s *Scheduler) TakeDirty(limit int, busy func(id string) bool) []DirtyRecord {
	var out []DirtyRecord
	for _, urgent := range []bool{true, false} {
		for id, j := range s.dirty {
			if len(out) == limit {
				return out
			}
			if j.callerWaits() != urgent || busy(id) {
				continue
			}
			delete(s.dirty, id)
			out = append(out, DirtyRecord{ID: id, Version: j.version, Record: j.record()})
		}
	}
	return out
}

// MarkDirty marks a job's record to be written again.
func (s *Scheduler) MarkDirty(id string) {
	if j := s.jobs[id]; j != nil {
		s.dirty[id] = j
	}
}

// Dirty reports whether any record has to be written, and whether one of them is urgent.
func (s *Scheduler) Dirty() (nonEmpty, urgent bool) {
	for _, j := range s.dirty {
		if j.callerWaits() {
			return true, true
		}
	}
	return len(s.dirty) > 0, false
}

// DirtyCount returns how many records have to be written.
func (s *Scheduler) DirtyCount() int { return len(s.dirty) }

// callerWaits reports whether a caller may be waiting for the job's acceptance or final state to become durable.
func (j *jobState) callerWaits() bool { return !j.stored || j.finalState != "" }

func (j *jobState) record() *job.Record {
	if j.finalState != "" {
		r := &job.Record{
			Spec:     job.Spec{ID: j.spec.ID, Queue: j.spec.Queue, Tenant: j.spec.Tenant},
			Accepted: j.acceptedAt, Final: j.finalState, Finished: j.finishedAt,
		}
		if j.tenant != nil {
			r.Largest, r.Runs = j.largestTask(), j.remainingRuns()
		}
		return r
	}
	r := &job.Record{Spec: j.spec, Accepted: j.acceptedAt, Excess: j.excess}
	for _, st := range j.stages {
		if p, nonEmpty := st.progress(); nonEmpty {
			r.Progress = append(r.Progress, p)
		}
	}
	return r
}

func (st *stage) progress() (p job.Progress, nonEmpty bool) {
	p = job.Progress{Occurrence: st.id.Occurrence, Step: st.id.Step}
	if st.finished() {
		p.AllDone = true
		return p, true
	}
	for _, t := range st.tasks {
		if t.done {
			p.Done = append(p.Done, t.index)
			continue
		}
		if len(t.failedRuns) > 0 {
			if p.Failed == nil {
				p.Failed = map[int][]int{}
			}
			p.Failed[t.index] = slices.Clone(t.failedRuns)
		}
		if t.checkpoint != "" {
			if p.Checkpoints == nil {
				p.Checkpoints = map[int]string{}
			}
			p.Checkpoints[t.index] = t.checkpoint
		}
	}
	if st.adviceIsExpensive() {
		for _, e := range st.advice.eligible {
			p.EligibleRunners = append(p.EligibleRunners, e.runner.ID)
		}
	}
	return p, len(p.Done)+len(p.Failed)+len(p.Checkpoints)+len(p.EligibleRunners) > 0
}

func (s *Scheduler) restoreProgress(j *jobState, p job.Progress) {
	if p.Step >= len(j.spec.Steps) {
		return
	}
	st := s.stageOf(j, p.Occurrence, p.Step)
	if p.AllDone {
		for _, t := range st.tasks {
			t.done = true
		}
		st.doneCount = len(st.tasks)
	}
	for _, i := range p.Done {
		if i < len(st.tasks) && !st.tasks[i].done {
			st.tasks[i].done = true
			st.doneCount++
		}
	}
	for i, runs := range p.Failed {
		if i < len(st.tasks) {
			st.tasks[i].failedRuns = slices.Clone(runs)
		}
	}
	for i, checkpoint := range p.Checkpoints {
		if i < len(st.tasks) {
			st.tasks[i].checkpoint = checkpoint
		}
	}
	st.advice.recordedEligible = p.EligibleRunners
	j.started = j.started || p.AllDone || len(p.Done)+len(p.Failed)+len(p.Checkpoints) > 0
	if s.occurrenceIsDone(j, p.Occurrence) {
		j.doneOccurrences++
	}
}

func (s *Scheduler) occurrenceIsDone(j *jobState, occurrence int) bool {
	for i := range j.spec.Steps {
		st := s.stages[job.StepID{Job: j.spec.ID, Occurrence: occurrence, Step: i}]
		if st == nil || !st.finished() {
			return false
		}
	}
	return true
}
