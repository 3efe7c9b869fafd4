package scheduler

import (
	"slices"

	"github.com/agateyard/agateyard/internal/job"
)

// DirtyRecord is a durable state that has to be written, with the version that it stands for.
type DirtyRecord struct {
	ID      string
	Version int64
	Record  *job.Record
}

// TakeDirty returns up to limit changed records, the urgent ones first. Jobs for which busy returns true stay.
func (s *Scheduler) TakeDirty(limit int, busy func(id string) bool) []DirtyRecord {
	var out []DirtyRecord
	for _, urgent := range []bool{true, false} {
		for id, j := range s.dirty {
			if len(out) == limit {
				return out
			}
			if j.awaited() != urgent || busy(id) {
				continue
			}
			delete(s.dirty, id)
			out = append(out, DirtyRecord{ID: id, Version: j.version, Record: j.record()})
		}
	}
	return out
}

// MarkDirty marks a job's durable state as not written.
func (s *Scheduler) MarkDirty(id string) {
	if j := s.jobs[id]; j != nil {
		s.dirty[id] = j
	}
}

// Dirty reports whether there is something to write, and whether a part of it is urgent.
func (s *Scheduler) Dirty() (some, urgent bool) {
	for _, j := range s.dirty {
		if j.awaited() {
			return true, true
		}
	}
	return len(s.dirty) > 0, false
}

// DirtyCount returns how many records have to be written.
func (s *Scheduler) DirtyCount() int { return len(s.dirty) }

// awaited reports whether a caller waits for the durable state of the job: for its acceptance or its end.
func (j *jobState) awaited() bool { return !j.stored || j.final != "" }

func (j *jobState) record() *job.Record {
	if j.final != "" {
		return &job.Record{
			Spec:     job.Spec{ID: j.spec.ID, Queue: j.spec.Queue},
			Accepted: j.accepted, Final: j.final, Finished: j.finished,
		}
	}
	r := &job.Record{Spec: j.spec, Accepted: j.accepted}
	for _, st := range j.stages {
		if p, some := st.progress(); some {
			r.Progress = append(r.Progress, p)
		}
	}
	return r
}

func (st *stage) progress() (p job.Progress, some bool) {
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
		if len(t.failed) > 0 {
			if p.Failed == nil {
				p.Failed = map[int][]int{}
			}
			p.Failed[t.index] = slices.Clone(t.failed)
		}
		if t.saved != "" {
			if p.Checkpoints == nil {
				p.Checkpoints = map[int]string{}
			}
			p.Checkpoints[t.index] = t.saved
		}
	}
	if st.adviceIsDear() {
		for _, g := range st.advice.good {
			p.EligibleRunners = append(p.EligibleRunners, g.runner.ID)
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
		st.doneN = len(st.tasks)
	}
	for _, i := range p.Done {
		if i < len(st.tasks) && !st.tasks[i].done {
			st.tasks[i].done = true
			st.doneN++
		}
	}
	for i, runs := range p.Failed {
		if i < len(st.tasks) {
			st.tasks[i].failed = slices.Clone(runs)
		}
	}
	for i, saved := range p.Checkpoints {
		if i < len(st.tasks) {
			st.tasks[i].saved = saved
		}
	}
	st.advice.remembered = p.EligibleRunners
	j.begun = j.begun || p.AllDone || len(p.Done)+len(p.Failed)+len(p.Checkpoints) > 0
	if s.occurrenceIsDone(j, p.Occurrence) {
		j.doneOcc++
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
