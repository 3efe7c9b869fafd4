package scheduler

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// Submit adds a submitted job. The job starts once MarkStored reports that its acceptance is durable. If a job with the
// same identifier exists, Submit does nothing.
func (s *Scheduler) Submit(spec job.Spec) {
	if s.jobs[spec.ID] != nil {
		return
	}
	j := &jobState{spec: spec, acceptedAt: s.wall.UnixMilli(), arrivedAt: s.now, tenant: s.tenantOf(spec.Tenant)}
	s.setQueue(j, nil)
	j.objective = s.objectiveOf(&j.spec, &j.queue)
	s.jobs[spec.ID] = j
	j.countActive(1)
	s.classifyArrival(j)
	s.stateChanged(j)
	if spec.Occurrences == 0 {
		s.openOccurrence(j, 0) // overlaps advice calls with the write of the acceptance
	}
}

// Restore loads a job from its durable record.
func (s *Scheduler) Restore(r *job.Record) {
	j := &jobState{
		spec: r.Spec, acceptedAt: r.Accepted, finalState: r.Final, finishedAt: r.Finished,
		stored: true, inherited: true, tenant: s.tenantOf(r.Tenant),
	}
	s.setQueue(j, r.Settings)
	if r.Runs > 0 || !r.Largest.IsZero() {
		j.recorded = &recordedSize{largest: r.Largest, runs: r.Runs}
	}
	s.jobs[r.ID] = j
	if j.finalState != "" {
		s.finalJobs = append(s.finalJobs, j)
		return
	}
	j.countActive(1)
	j.objective = s.objectiveOf(&j.spec, &j.queue)
	j.arrivedAt = s.now - max(0, time.Duration(s.wall.UnixMilli()-r.Accepted)*time.Millisecond)
	for _, p := range r.Progress {
		s.restoreProgress(j, p)
	}
	j.excess = r.Excess && j.tenant != nil
	if j.excess && !j.started {
		s.addExcess(j)
	}
	if j.spec.Occurrences == 0 {
		s.openOccurrence(j, 0)
	} else {
		s.scheduledJobs = append(s.scheduledJobs, j)
	}
}

// RestoreDone completes the restore of all jobs.
func (s *Scheduler) RestoreDone() {
	sort.Slice(s.finalJobs, func(i, k int) bool { return s.finalJobs[i].finishedAt < s.finalJobs[k].finishedAt })
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		if j := s.jobs[id]; j.finalState == "" && j.doneOccurrences >= j.spec.OccurrenceCount() {
			s.finish(j, job.Done, "all tasks were done at the takeover")
		}
	}
	s.openDueOccurrences()
	for _, st := range s.stages {
		s.updateLoad(st, st.waitingTasks()) // tasks that are done were restored after the stage was first counted
	}
	s.sortExcess()
	s.chargeInherited()
}

// MarkStored records that the given version of the job's state, or a later one, is durable.
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
	if j.finalState == "" && j.spec.Occurrences > 0 {
		s.scheduledJobs = append(s.scheduledJobs, j)
	}
	s.openDueOccurrences()
	s.needsPass = true
}

// Cancel cancels a job. known is false if there is no such job.
func (s *Scheduler) Cancel(id string) (known bool) {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	if j.finalState == "" {
		s.finish(j, job.Canceled, "cancelled by its caller")
	}
	return true
}

// finish sets a job's final state and stops its remaining runs, except for the members of a gang that is done.
func (s *Scheduler) finish(j *jobState, state job.State, reason string) {
	j.finalState = state
	j.finishedAt = s.wall.UnixMilli()
	s.excessLeft(j)
	j.countActive(-1)
	s.finalJobs = append(s.finalJobs, j)
	for _, st := range j.stages {
		st.open = false
		st.claims = nil
		s.updateDemand(st)
		s.updateLoad(st, 0)
		for _, t := range st.tasks {
			if t.current != nil && (state != job.Done || !st.step.Gang) { // the members of a gang end together
				s.stop(t.current, "job "+string(state))
			}
		}
		delete(s.stages, st.id)
	}
	s.forgetSuspects(j)
	s.removeClosedStages()
	s.stateChanged(j)
	finished := JobFinished{Job: j.spec.ID, Queue: j.spec.Queue, State: state, Reason: reason}
	if j.spec.Occurrences == 0 && state == job.Done {
		finished.Late = max(0, s.now-j.arrivedAt-j.objective)
	}
	s.emit(finished)
	s.needsPass = true
}

// countActive changes the number of the tenant's jobs that have not ended.
func (j *jobState) countActive(change int) {
	if j.tenant != nil {
		j.tenant.activeJobs += change
	}
}

// removeClosedStages removes closed stages from the list of open stages.
func (s *Scheduler) removeClosedStages() {
	keep := s.openStages[:0]
	for _, st := range s.openStages {
		if st.open {
			keep = append(keep, st)
		}
	}
	clear(s.openStages[len(keep):])
	s.openStages = keep
}

func (s *Scheduler) stateChanged(j *jobState) {
	j.version++
	s.dirty[j.spec.ID] = j
}
