package scheduler

import (
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// oversizeRetry is the Retry-After of a job that is larger than its tenant's cap: only another configuration helps.
const oversizeRetry = 5 * time.Second

// withinCap reports whether an amount is within a cap. A field of the cap that is 0 sets no limit.
func withinCap(amount, limit model.Resources) bool {
	return (limit.CoresMilli == 0 || amount.CoresMilli <= limit.CoresMilli) &&
		(limit.MemoryMB == 0 || amount.MemoryMB <= limit.MemoryMB) &&
		(limit.Accelerators == 0 || amount.Accelerators <= limit.Accelerators)
}

// tenantKnown reports whether the limits that apply to a job are known. A tenant that the configuration in force doesn't
// have may be newer than it, unless the job was accepted under this configuration or an earlier one.
func (s *Scheduler) tenantKnown(j *jobState) bool {
	return s.tenants.set && (j.tenant.configured || j.spec.ConfigVersion <= s.tenants.version)
}

// committed returns what counts against the cap of a tenant.
func (t *tenantState) committed() model.Resources { return t.charged.Add(t.inherited) }

// mayCharge reports whether the cap of the stage's tenant leaves room for the given number of further tasks. What is held
// for a gang of the tenant that comes earlier in the pass counts as used.
func (s *Scheduler) mayCharge(st *stage, count int) bool {
	t := st.job.tenant
	if t == nil {
		return true
	}
	if !s.tenantKnown(st.job) {
		return false
	}
	wanted := t.committed().Add(st.step.Need.Scale(int64(count)))
	if t.heldPass == s.passCount {
		wanted = wanted.Add(t.heldFor)
	}
	return withinCap(wanted, t.Cap)
}

// capAllows reports whether a stage with waiting tasks may place any of them now: one task, or all members of a gang. A
// gang that doesn't fit has the capacity held that becomes free under the cap, as smaller stages of the same tenant would
// otherwise take it for ever.
func (s *Scheduler) capAllows(st *stage) bool {
	if st.job.tenant == nil {
		return true
	}
	if !st.step.Gang {
		return s.mayCharge(st, 1)
	}
	if !st.idle() || s.mayCharge(st, len(st.tasks)) {
		return true
	}
	t := st.job.tenant
	size := st.step.Need.Scale(int64(len(st.tasks)))
	if t.heldPass != s.passCount && !s.tenants.inheriting && s.tenantKnown(st.job) && withinCap(size, t.Cap) {
		t.heldPass, t.heldFor = s.passCount, size
	}
	return false
}

// mayStartReserved reports whether the reserved runs of a stage may start: its tenant's cap may have fallen below what is
// charged since they were reserved.
func (s *Scheduler) mayStartReserved(st *stage) bool {
	t := st.job.tenant
	return t == nil || s.tenantKnown(st.job) && withinCap(t.committed(), t.Cap)
}

// oversized reports whether a task of the job, or a gang as a whole, is larger than the cap.
func oversized(spec *job.Spec, limit model.Resources) bool {
	for i := range spec.Steps {
		size := spec.Steps[i].Need
		if spec.Steps[i].Gang {
			size = size.Scale(int64(spec.Steps[i].Count))
		}
		if !withinCap(size, limit) {
			return true
		}
	}
	return false
}

// tenantAllows reports whether the limits of a stage's tenant let it place anything now.
func (s *Scheduler) tenantAllows(st *stage) bool {
	count := 1
	if st.step.Gang {
		count = len(st.tasks)
	}
	return s.capAllows(st) && s.excessMayTake(st, count)
}

// countHeld counts a stage that its tenant's limits have held back in this pass.
func (s *Scheduler) countHeld(st *stage) {
	t := st.job.tenant
	if t.countedPass != s.passCount {
		t.countedPass, t.held = s.passCount, 0
	}
	t.held++
}

// manyHeld reports whether the limits of a stage's tenant have held back so many stages in this pass that the others wait
// for a pass over all stages. A tenant with a long queue would otherwise slow every pass down.
func (s *Scheduler) manyHeld(st *stage) bool {
	t := st.job.tenant
	return t != nil && t.countedPass == s.passCount && t.held >= maxUnplacedStages
}
