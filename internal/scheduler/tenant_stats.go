package scheduler

import (
	"cmp"
	"slices"
)

// maxTenantStats limits how many tenants have figures of their own, and with them the number of metrics.
const maxTenantStats = 50

// otherTenants names the sum of the tenants without figures of their own.
const otherTenants = "other"

// TenantStats are the figures of one tenant.
type TenantStats struct {
	Name                           string
	UsedCPU, CapCPU                int64   // millicores; a cap of 0 is no limit
	FairShare, Account             float64 // dominant share of the capacity, and seconds of it
	WaitingCPU                     int64   // millicores requested by waiting tasks
	ExcessJobs, Refused, OverShare int     // excess jobs that wait, jobs refused, 1 if the tenant is over its share
}

// tenantStats returns the figures of the tenants with the most usage, and the sum of the others.
func (s *Scheduler) tenantStats() []TenantStats {
	var out []TenantStats
	for _, t := range s.tenants.sorted {
		x := TenantStats{
			Name: t.Name, UsedCPU: t.charged.CoresMilli, CapCPU: t.Cap.CoresMilli, FairShare: t.fairShare, Account: t.account.Balance,
			WaitingCPU: max(t.demand.tasks.CoresMilli-t.charged.CoresMilli, 0), ExcessJobs: t.excess.waiting, Refused: t.refused,
		}
		if t.over {
			x.OverShare = 1
		}
		out = append(out, x)
	}
	if len(out) <= maxTenantStats {
		return out
	}
	slices.SortStableFunc(out, func(a, b TenantStats) int { return cmp.Compare(b.UsedCPU, a.UsedCPU) })
	other := TenantStats{Name: otherTenants}
	for _, x := range out[maxTenantStats:] {
		other.UsedCPU += x.UsedCPU
		other.CapCPU += x.CapCPU
		other.FairShare += x.FairShare
		other.Account += x.Account
		other.WaitingCPU += x.WaitingCPU
		other.ExcessJobs += x.ExcessJobs
		other.Refused += x.Refused
		other.OverShare += x.OverShare
	}
	return append(out[:maxTenantStats], other)
}
