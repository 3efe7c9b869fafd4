package scheduler

import (
	"fmt"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// TenantWait reports that a stage waits for a cap or a share of its tenant, or, if Ended is true, does so no longer.
type TenantWait struct {
	Step   job.StepID
	Tenant string
	Reason string
	Ended  bool
}

func (TenantWait) effect() {}

const (
	// tenantWaitInterval is the minimum time between two reports about the same stage.
	tenantWaitInterval = time.Second
	// maxTenantWaits limits how many stages are reported at the same time. A flood would otherwise fill the log with lines
	// that say the same.
	maxTenantWaits = 200
)

// tenantWait is a reported wait of a stage.
type tenantWait struct {
	reason string
	at     time.Duration
}

// reportWait reports that a stage waits for its tenant's limits, or for a share, and when that has ended.
func (s *Scheduler) reportWait(st *stage, waits bool) {
	t := st.job.tenant
	if t == nil {
		return
	}
	reported, known := s.tenants.waits[st]
	switch {
	case waits && !known && len(s.tenants.waits) < maxTenantWaits:
		s.setWait(st, tenantWait{reason: s.waitReason(st), at: s.now})
	case !waits && known && s.now-reported.at >= tenantWaitInterval:
		delete(s.tenants.waits, st)
		s.emit(TenantWait{Step: st.id, Tenant: t.Name, Reason: reported.reason, Ended: true})
	}
}

func (s *Scheduler) setWait(st *stage, wait tenantWait) {
	if s.tenants.waits == nil {
		s.tenants.waits = map[*stage]tenantWait{}
	}
	s.tenants.waits[st] = wait
	s.emit(TenantWait{Step: st.id, Tenant: st.job.tenant.Name, Reason: wait.reason})
}

// waitsForTenant reports whether a stage that was visited in a pass waits for a limit or a share of its tenant.
func (s *Scheduler) waitsForTenant(st *stage) bool {
	return st.open && st.job.stored && (s.heldBack || s.contested() && (st.job.excess || st.job.tenant.over)) && st.waitingTasks() > 0
}

func (s *Scheduler) waitReason(st *stage) string {
	t := st.job.tenant
	switch {
	case !s.tenantKnown(st.job):
		return fmt.Sprintf("tenant not in configuration %d", s.tenants.version)
	case s.heldBack && !s.mayCharge(st, 1):
		return "tenant at its cap: " + s.usageOfCap(t, st.step.Need)
	case s.heldBack && st.step.Gang && !s.mayCharge(st, len(st.tasks)):
		return "the gang exceeds what is left of its tenant's cap: " + s.usageOfCap(t, st.step.Need.Scale(int64(len(st.tasks))))
	case st.job.excess:
		return fmt.Sprintf("beyond the tenant's rate of %g jobs a second", t.Weight)
	default:
		return fmt.Sprintf("tenant over its share: uses %.1f %%, is owed %.1f %%", 100*t.charged.DominantShare(s.shares.capacity), 100*t.fairShare)
	}
}

// usageOfCap describes the use of the first resource in which the cap leaves no room for an amount.
func (s *Scheduler) usageOfCap(t *tenantState, need model.Resources) string {
	used := s.committed(t)
	wanted := used.Add(need)
	switch {
	case t.Cap.CoresMilli > 0 && wanted.CoresMilli > t.Cap.CoresMilli:
		return fmt.Sprintf("%.4g of %.4g cores", float64(used.CoresMilli)/1000, float64(t.Cap.CoresMilli)/1000)
	case t.Cap.MemoryMB > 0 && wanted.MemoryMB > t.Cap.MemoryMB:
		return fmt.Sprintf("%d of %d MB", used.MemoryMB, t.Cap.MemoryMB)
	case t.Cap.Accelerators > 0 && wanted.Accelerators > t.Cap.Accelerators:
		return fmt.Sprintf("%d of %d accelerators", used.Accelerators, t.Cap.Accelerators)
	default:
		return "held for a gang of the tenant"
	}
}

// endWaits reports the end of the waits of stages that have nothing left to place.
func (s *Scheduler) endWaits() {
	for st, wait := range s.tenants.waits {
		if !st.open || st.waitingTasks() == 0 {
			delete(s.tenants.waits, st)
			s.emit(TenantWait{Step: st.id, Tenant: st.job.tenant.Name, Reason: wait.reason, Ended: true})
		}
	}
}
