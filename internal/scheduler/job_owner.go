package scheduler

// JobOwner returns the tenant and the queue of a job; known is false if there is no such job.
func (s *Scheduler) JobOwner(id string) (tenant, queue string, known bool) {
	j := s.jobs[id]
	if j == nil {
		return "", "", false
	}
	return j.spec.Tenant, j.spec.Queue, true
}
