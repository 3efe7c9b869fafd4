package scheduler

import (
	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// charge records a run and reserves what it uses: on its runner, and under the cap of its tenant. It is the only place
// that does; release is its counterpart.
func (s *Scheduler) charge(x *run) {
	x.runner.runs[x.key()] = x
	if x.risk != noRisk {
		x.runner.riskyRuns++
		x.runner.riskyAt = s.now
	}
	x.runner.used = x.runner.used.Add(x.reserved)
	st := x.task.stage
	x.task.runs++
	st.job.countRun(st, 1)
	if t := st.job.tenant; t != nil {
		t.charged = t.charged.Add(st.step.Need)
		if st.job.excess {
			s.shares.excessBudget.add(amountsOf(x.reserved), -1)
		}
		t.over = t.over || s.isOver(t)
	}
}

// release removes a run whose end is proved, or that was never sent, and releases what charge has reserved.
func (s *Scheduler) release(x *run) {
	delete(x.runner.runs, x.key())
	if x.risk != noRisk {
		x.runner.riskyRuns--
	}
	x.runner.used = x.runner.used.Sub(x.reserved)
	st := x.task.stage
	x.task.runs--
	st.job.countRun(st, -1)
	if t := st.job.tenant; t != nil {
		t.charged = t.charged.Sub(st.step.Need)
	}
}

// recordedSize is what the record of a finished job says about the runs that were left.
type recordedSize struct {
	largest model.Resources
	runs    int
}

func (j *jobState) countRun(st *stage, change int32) {
	if st.step.Gang {
		j.gangRuns += change
		return
	}
	j.runs += change
}

// remainingRuns returns how many runs of a finished job may still exist. The members of a gang end together, so those of
// a completed job have ended, although some ends are not reported yet.
func (j *jobState) remainingRuns() int {
	remaining := int(j.runs)
	if j.recorded != nil {
		remaining += j.recorded.runs
	}
	if j.finalState != job.Done {
		remaining += int(j.gangRuns)
	}
	return remaining
}

// largestTask returns, for each resource, the largest amount that a task of the job requests.
func (j *jobState) largestTask() model.Resources {
	var largest model.Resources
	if j.recorded != nil {
		largest = j.recorded.largest
	}
	for i := range j.spec.Steps {
		need := j.spec.Steps[i].Need
		largest.CoresMilli = max(largest.CoresMilli, need.CoresMilli)
		largest.MemoryMB = max(largest.MemoryMB, need.MemoryMB)
		largest.Accelerators = max(largest.Accelerators, need.Accelerators)
	}
	return largest
}

// unknownCharge is what a tenant is charged for a run that a runner lists and that belongs to no active job.
type unknownCharge struct {
	tenant *tenantState
	need   model.Resources
}

// chargeUnknown charges the tenant of a run that belongs to no active job, by the largest task of its job.
func (s *Scheduler) chargeUnknown(r *runner, key runKey) {
	r.unknownRuns++
	j := s.jobs[key.task.Job]
	if j == nil || j.tenant == nil {
		return
	}
	t := s.tenantOf(j.spec.Tenant) // not that of the finished job, which may have been removed and added again
	need := j.largestTask()
	t.charged = t.charged.Add(need)
	r.unknownCharges = append(r.unknownCharges, unknownCharge{t, need})
}

// releaseUnknown releases the charges for a runner's runs that belong to no active job: the runner has listed its runs
// again, or can have none of them any more.
func (s *Scheduler) releaseUnknown(r *runner) {
	r.unknownRuns = 0
	for _, c := range r.unknownCharges {
		c.tenant.charged = c.tenant.charged.Sub(c.need)
	}
	r.unknownCharges = r.unknownCharges[:0]
}
