package scheduler

import (
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// Refusal tells why a new job is not accepted and when its caller should submit it again.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
	Wait       time.Duration // predicted; 0 if it is not the reason
	Overload   bool          // the cell is short of a resource, whatever the limits of the job's tenant
}

// Admit decides whether a job that is not known yet may be accepted. It returns nil if it may.
func (s *Scheduler) Admit(spec *job.Spec) *Refusal {
	if s.jobs[spec.ID] != nil {
		return nil
	}
	t := s.tenants.byName[spec.Tenant]
	if t == nil || !t.configured {
		return s.admitOverload(spec)
	}
	refusal := s.admit(t, spec)
	if refusal == nil {
		refusal = s.admitOverload(spec)
	}
	if refusal != nil {
		t.refused++
	}
	return refusal
}

func (s *Scheduler) admit(t *tenantState, spec *job.Spec) *Refusal {
	if oversized(spec, t.Cap) {
		return &Refusal{Reason: "larger than the cap of its tenant", RetryAfter: oversizeRetry}
	}
	if spec.Occurrences > 0 {
		return nil // its caller doesn't wait for it
	}
	queue := s.queues[spec.Queue]
	objective := s.objectiveOf(spec, &queue)
	valueTime := lateFactor * objective
	if refusal := s.admitExcess(t, valueTime, objective); refusal != nil {
		return refusal
	}
	return s.admitAtCap(t, spec, valueTime, objective)
}
