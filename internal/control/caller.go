package control

import (
	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/tenant"
)

// Caller is who sent a request, as authenticated by the process that received it. It goes to the owner with the request.
// Processes of the build without tenants send none, which is a caller of a public route.
type Caller struct {
	Tenant        string        // whose key the caller has; empty on a public route
	Key           tenant.Digest // of the caller's key
	ConfigVersion int64         // configuration by which the caller was authenticated
	Public        bool          // the route needs no key
	Queue         string        // of the route
	Host, Prefix  string        // of the route; empty from processes of earlier builds
}

// mayAccess reports whether the caller may query, cancel or submit again a job of a tenant in a queue.
func (c Caller) mayAccess(owner, queue string) bool {
	if owner == "" || owner == c.Tenant {
		return true
	}
	return c.Public && c.Queue == queue // the route became public after the job was submitted
}

// claim marks a job as the caller's.
func (c Caller) claim(spec *job.Spec) {
	spec.Tenant, spec.ConfigVersion = c.Tenant, 0
	if c.Tenant != "" {
		spec.ConfigVersion = c.ConfigVersion
	}
}

// revoked reports whether a configuration that is newer than the one by which the caller was authenticated doesn't admit
// it any more: it has dropped the route, sends it to another queue or has withdrawn the key.
func (c Caller) revoked(newest *CellConfig, keysRequired bool) bool {
	if newest == nil || c.ConfigVersion >= newest.Version {
		return false
	}
	if c.Prefix != "" && !newest.hasRoute(c.Host, c.Prefix, c.Queue) {
		return true
	}
	if c.Public {
		return newest.needsKey(c.Queue, keysRequired)
	}
	if c.Tenant == "" {
		return false
	}
	name, known := newest.Tenants.Lookup(c.Key)
	return !known || name != c.Tenant
}
