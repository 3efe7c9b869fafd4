package scheduler

import (
	"slices"
	"strings"

	"github.com/agateyard/agateyard/internal/fairshare"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/tenant"
)

// tenantState is what the scheduler knows of one tenant. It is rebuilt by every owner and removed when it is not in use any
// more.
type tenantState struct {
	tenant.Tenant
	configured  bool            // the configuration in force has the tenant
	charged     model.Resources // requested by the runs of the tenant that may exist
	inherited   model.Resources // requested by tasks that may run on inherited runners that have not answered
	heldFor     model.Resources // kept free under the cap for a gang, in the pass heldPass
	heldPass    int
	held        int // stages that the tenant's limits have held back in the pass countedPass
	countedPass int
	demand      demand
	arrivals    fairshare.Bucket // tokens of jobs within the tenant's rate
	excess      excessState
	account     fairshare.Account
	fairShare   float64 // dominant share of the capacity that the tenant is owed, as of the last update
	over        bool    // over its share
	activeJobs  int     // jobs that have not ended
	refused     int     // jobs refused since the ownership began, or since the state was created
}

// tenants holds the tenants of a scheduler. It stays empty without jobs of tenants.
type tenants struct {
	version    int64 // of the configuration in force
	set        bool  // SetTenants has been called
	byName     map[string]*tenantState
	configured bool                  // the configuration in force has tenants
	sorted     []*tenantState        // by name
	waits      map[*stage]tenantWait // reported waits
	inheriting bool                  // inherited runners may have runs that are not known yet
	unreported model.Resources       // capacity of the inherited runners that have not answered; only while inheriting
}

// SetTenants replaces the settings of the tenants. Version is that of the configuration that holds them; an older
// version than the one in force is ignored.
func (s *Scheduler) SetTenants(version int64, settings []tenant.Tenant) {
	if s.tenants.set && version < s.tenants.version {
		return
	}
	s.tenants.version, s.tenants.set = version, true
	if !s.tenants.configured {
		s.shares = shares{updatedAt: s.now - shareInterval}
	}
	s.tenants.configured = len(settings) > 0
	for _, t := range s.tenants.byName {
		t.configured = false
		t.Tenant = tenant.Tenant{Name: t.Name}
	}
	for _, setting := range settings {
		if setting.Name == "" {
			continue
		}
		t := s.tenantOf(setting.Name)
		t.Tenant, t.configured = setting, true
		t.arrivals.SetRate(setting.Weight, s.now)
	}
	s.needsPass = true
}

// tenantOf returns the state of a tenant; nil for the empty name, which stands for work without a tenant.
func (s *Scheduler) tenantOf(name string) *tenantState {
	if name == "" {
		return nil
	}
	t := s.tenants.byName[name]
	if t == nil {
		t = &tenantState{Tenant: tenant.Tenant{Name: name}}
		if s.tenants.byName == nil {
			s.tenants.byName = map[string]*tenantState{}
		}
		s.tenants.byName[name] = t
		at, _ := slices.BinarySearchFunc(s.tenants.sorted, name, func(t *tenantState, name string) int { return strings.Compare(t.Name, name) })
		s.tenants.sorted = slices.Insert(s.tenants.sorted, at, t)
	}
	return t
}

// inUse reports whether the state of a tenant is needed: the configuration has the tenant, or it has work that is not
// proved to have ended. Finished jobs don't need it: what is left of their runs is charged.
func (t *tenantState) inUse() bool {
	return t.configured || t.activeJobs > 0 || !t.charged.IsZero() || !t.inherited.IsZero()
}

// removeUnusedTenants removes the states of the tenants that are not in use any more. Operators may add and remove any
// number of tenants during one ownership.
func (s *Scheduler) removeUnusedTenants() {
	s.tenants.sorted = slices.DeleteFunc(s.tenants.sorted, func(t *tenantState) bool {
		if !t.inUse() {
			delete(s.tenants.byName, t.Name)
		}
		return !t.inUse()
	})
}
