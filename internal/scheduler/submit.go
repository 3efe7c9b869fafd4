package scheduler

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// Submit takes a job that its caller has sent. It starts once MarkStored has told that its acceptance is durable. A job
// whose identifier is known stays as it was.
func (s *Scheduler) Submit(spec job.Spec) {
	if s.jobs[spec.ID] != nil {
		return
	}
	j := &jobState{spec: spec, accepted: s.wall.UnixMilli(), arrived: s.now, queue: s.queues[spec.Queue]}
	j.objective = s.objectiveOf(&j.spec, &j.queue)
	s.jobs[spec.ID] = j
	s.changed(j)
	if spec.Occurrences == 0 {
		s.openOccurrence(j, 0) // advice is asked while the acceptance is being written
	}
}

// Restore takes over the durable record of a job.
func (s *Scheduler) Restore(r *job.Record) {
	j := &jobState{
		spec: r.Spec, accepted: r.Accepted, final: r.Final, finished: r.Finished,
		stored: true, restored: true, queue: s.queues[r.Queue],
	}
	s.jobs[r.ID] = j
	if j.final != "" {
		s.finals = append(s.finals, j)
		return
	}
	j.objective = s.objectiveOf(&j.spec, &j.queue)
	j.arrived = s.now - max(0, time.Duration(s.wall.UnixMilli()-r.Accepted)*time.Millisecond)
	for _, p := range r.Progress {
		s.restoreProgress(j, p)
	}
	if j.spec.Occurrences == 0 {
		s.openOccurrence(j, 0)
	} else {
		s.timed = append(s.timed, j)
	}
}

// RestoreDone orders what Restore has collected.
func (s *Scheduler) RestoreDone() {
	sort.Slice(s.finals, func(i, k int) bool { return s.finals[i].finished < s.finals[k].finished })
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		if j := s.jobs[id]; j.final == "" && j.doneOcc >= j.spec.OccurrenceCount() {
			s.finish(j, job.Done, "all tasks were done at the takeover")
		}
	}
	s.openDue()
}

// MarkStored tells that the job's durable state is at least version.
func (s *Scheduler) MarkStored(id string, version int64) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	j.durable = max(j.durable, version)
	if j.stored {
		return
	}
	j.stored = true
	if j.final == "" && j.spec.Occurrences > 0 {
		s.timed = append(s.timed, j)
	}
	s.openDue()
	s.needsPass = true
}

// Cancel ends a job. known is false if there is no such job.
func (s *Scheduler) Cancel(id string) (known bool) {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	if j.final == "" {
		s.finish(j, job.Canceled, "cancelled by its caller")
	}
	return true
}

// finish brings a job to a final state and stops what still runs of it.
func (s *Scheduler) finish(j *jobState, state job.State, reason string) {
	j.final = state
	j.finished = s.wall.UnixMilli()
	s.finals = append(s.finals, j)
	for _, st := range j.stages {
		st.open = false
		st.claim = nil
		for _, t := range st.tasks {
			if t.current != nil && (state != job.Done || !st.step.Gang) { // the members of a gang end together
				s.stop(t.current, "job "+string(state))
			}
		}
		delete(s.stages, st.id)
	}
	s.dropClosed()
	s.changed(j)
	s.emit(JobFinished{Job: j.spec.ID, Queue: j.spec.Queue, State: state, Reason: reason})
	s.needsPass = true
}

// dropClosed removes the stages that are closed from the open ones.
func (s *Scheduler) dropClosed() {
	keep := s.open[:0]
	for _, st := range s.open {
		if st.open {
			keep = append(keep, st)
		}
	}
	clear(s.open[len(keep):])
	s.open = keep
}

func (s *Scheduler) changed(j *jobState) {
	j.version++
	s.dirty[j.spec.ID] = j
}
