package scheduler

import (
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/tenant"
)

// tenantState is what the scheduler knows of one tenant. It is rebuilt by every owner.
type tenantState struct {
	tenant.Tenant
	configured bool            // the configuration in force has the tenant
	charged    model.Resources // requested by the runs of the tenant that may exist
	inherited  model.Resources // requested by tasks that may run on inherited runners that have not answered
	heldFor    model.Resources // kept free under the cap for a gang, in the pass heldPass
	heldPass   int
}

// tenants holds the tenants of a scheduler. It stays empty without jobs of tenants.
type tenants struct {
	version    int64 // of the configuration in force
	set        bool  // SetTenants has been called
	byName     map[string]*tenantState
	inheriting bool // inherited runners may have runs that are not known yet
}

// SetTenants replaces the settings of the tenants. Version is that of the configuration that holds them; an older
// version than the one in force is ignored.
func (s *Scheduler) SetTenants(version int64, settings []tenant.Tenant) {
	if s.tenants.set && version < s.tenants.version {
		return
	}
	s.tenants.version, s.tenants.set = version, true
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
	}
	return t
}
