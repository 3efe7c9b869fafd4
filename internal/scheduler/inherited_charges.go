package scheduler

import (
	"math"

	"github.com/agateyard/agateyard/internal/model"
)

// maxCopies is how many runs of one speculative task of a tenant may exist. A new owner charges the tenant for as many,
// as it doesn't know them yet.
const maxCopies = 2

// chargeInherited charges each tenant for the tasks of its restored jobs that may run on an inherited runner. Without
// it, a new owner would fill the cap of a tenant whose runs on a silent runner it doesn't know yet.
func (s *Scheduler) chargeInherited() {
	s.tenants.inheriting = true
	s.updateUnreported()
	for _, j := range s.jobs {
		if j.tenant == nil || !j.inherited {
			continue
		}
		if j.recorded != nil {
			j.tenant.inherited = j.tenant.inherited.Add(j.recorded.largest.Scale(int64(j.recorded.runs)))
		}
		for _, st := range j.stages {
			s.chargeInheritedStage(st)
		}
	}
}

// chargeInheritedStage charges the tasks of one stage that may run on an inherited runner. All steps of a job count, as a
// predecessor may have started a step before the end of the previous one was durable.
func (s *Scheduler) chargeInheritedStage(st *stage) {
	if !s.tenants.inheriting || st.job.tenant == nil || !st.job.inherited {
		return
	}
	for _, t := range st.tasks {
		s.setInherited(t, t.maxInherited())
	}
}

// maxInherited returns how many runs of a task may exist on inherited runners. A task that is done may have copies left
// if it is speculative.
func (t *task) maxInherited() int {
	n := 1
	if t.stage.step.Speculative {
		n = maxCopies
	}
	if t.done {
		n--
	}
	return n
}

// setInherited changes for how many runs on inherited runners a task is charged.
func (s *Scheduler) setInherited(t *task, runs int) {
	if !s.tenants.inheriting || t.stage.job.tenant == nil || runs == int(t.inheritedRuns) {
		return
	}
	owner := t.stage.job.tenant
	owner.inherited = owner.inherited.Add(t.stage.step.Need.Scale(int64(runs - int(t.inheritedRuns))))
	t.inheritedRuns = int8(runs)
}

// inheritedFound removes the charge for an inherited run that is now known and charged itself.
func (s *Scheduler) inheritedFound(t *task) {
	s.setInherited(t, max(int(t.inheritedRuns)-1, 0))
}

// inheritedDone removes the charge for the run that has completed a task.
func (s *Scheduler) inheritedDone(t *task) {
	s.setInherited(t, min(int(t.inheritedRuns), t.maxInherited()))
}

// updateUnreported adds up the capacity of the inherited runners that have not answered. One that discovery doesn't list any
// more counts as the largest runner that it lists. One without an address stands for a list of runners that can't be read, so
// that any number of them may be missing.
func (s *Scheduler) updateUnreported() {
	var known, largest model.Resources
	var unlisted int64
	unknown := false
	for _, r := range s.runners {
		largest = largest.Max(r.Capacity)
		switch {
		case !r.inherited:
		case r.Addr == "":
			unknown = true
		case r.Capacity == model.Resources{}:
			unlisted++
		default:
			known = known.Add(r.Capacity)
		}
	}
	s.tenants.unreported = known.Add(largest.Scale(unlisted))
	if unknown || unlisted > 0 && largest == (model.Resources{}) {
		s.tenants.unreported = unboundedResources
	}
}

// unboundedResources is more than any fleet has.
var unboundedResources = model.Resources{
	CoresMilli: math.MaxInt64 / 4, MemoryMB: math.MaxInt64 / 4, Accelerators: math.MaxInt64 / 4, Slots: math.MaxInt64 / 4,
}

// releaseInherited ends the charges for tasks that may be inherited: every inherited runner has answered, or its leases
// have expired.
func (s *Scheduler) releaseInherited() {
	s.tenants.inheriting = false
	for _, t := range s.tenants.byName {
		t.inherited = model.Resources{}
	}
}
