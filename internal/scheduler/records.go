package scheduler

import (
	"cmp"
	"slices"
	"strings"

	"github.com/agateyard/agateyard/internal/job"
)

// DirtyRecord is a job record that has to be written, with the version of the job's state that it contains.
type DirtyRecord struct {
	ID      string
	Version int64
	Record  *job.Record
}

// TakeDirty removes and returns up to limit changed records, in the order of compareDirty. Jobs for which busy returns true
// are skipped.
func (s *Scheduler) TakeDirty(limit int, busy func(id string) bool) []DirtyRecord {
	first := make([]*jobState, 0, limit+1)
	for id, j := range s.dirty {
		if busy(id) || len(first) == limit && compareDirty(j, first[limit-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, j, compareDirty)
		first = slices.Insert(first, at, j)
		first = first[:min(len(first), limit)]
	}
	out := make([]DirtyRecord, 0, len(first))
	for _, j := range first {
		delete(s.dirty, j.spec.ID)
		out = append(out, DirtyRecord{ID: j.spec.ID, Version: j.version, Record: j.record()})
	}
	return out
}

// compareDirty orders the records of which only a part fits into a commit: those for which a caller may be waiting first,
// then by the priority of the queue, then by the time at which the job is due. After an outage of the store the
// first commits hold what is lost first if it waits longer.
func compareDirty(a, b *jobState) int {
	waits := func(j *jobState) int {
		if j.callerWaits() {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(waits(a), waits(b)),
		cmp.Compare(a.queue.Priority, b.queue.Priority),
		cmp.Compare(a.arrivedAt+a.objective, b.arrivedAt+b.objective),
		strings.Compare(a.spec.ID, b.spec.ID),
	)
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
	r := &job.Record{Spec: j.spec, Accepted: j.acceptedAt, Excess: j.excess, Settings: j.settings}
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
		if len(t.crashes) > 0 {
			if p.Crashes == nil {
				p.Crashes = map[int][]job.Crash{}
			}
			p.Crashes[t.index] = slices.Clone(t.crashes)
		}
		if t.lastFailure != nil {
			if p.FailedLately == nil {
				p.FailedLately = map[int][]job.FailedRun{}
			}
			p.FailedLately[t.index] = t.failedLately()
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
	return p, len(p.Done)+len(p.Failed)+len(p.Checkpoints)+len(p.Crashes)+len(p.EligibleRunners) > 0
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
	for i, runs := range p.FailedLately {
		if i < len(st.tasks) {
			s.restoreFailures(st.tasks[i], runs)
		}
	}
	s.restoreCrashes(st, p.Crashes)
	st.advice.recordedEligible = p.EligibleRunners
	j.started = j.started || p.AllDone || len(p.Done)+len(p.Failed)+len(p.Checkpoints) > 0
	for _, crashes := range p.Crashes {
		j.started = j.started || slices.ContainsFunc(crashes, func(c job.Crash) bool { return c.Started })
	}
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
