package control

import (
	"context"
	"time"

	"github.com/agateyard/agateyard/internal/tenant"
)

// Credentials are the parts of a caller's request that decide whether it is served.
type Credentials struct {
	Host, Path string
	Key        tenant.Digest // of the key; zero if the request has none
}

// Access is the result of an authentication.
type Access struct {
	Result AuthResult
	Config *CellConfig // by which it was decided
	Route  *Route      // nil if no route matches
	Rest   string      // of the path, after the prefix of the route
	Caller Caller      // if the request is admitted
}

// Admitted reports whether the request may be served.
func (a Access) Admitted() bool {
	return a.Result.admits()
}

// authenticate decides by one configuration.
func (c *CellConfig) authenticate(cr Credentials, keysRequired bool) Access {
	a := Access{Config: c, Result: AuthNoRoute}
	route, rest, ok := c.Match(cr.Host, cr.Path)
	if !ok {
		return a
	}
	a.Route, a.Rest = route, rest
	a.Caller = Caller{ConfigVersion: c.Version, Queue: route.Queue.Name, Public: true}
	switch {
	case !c.requiresKeys(keysRequired):
		a.Result = AuthOpen
	case route.Public:
		a.Result = AuthPublic
	case cr.Key.IsZero():
		a.Result, a.Caller = AuthNoKey, Caller{}
	default:
		a.Result, a.Caller = AuthUnknownKey, Caller{}
		if name, known := c.Tenants.Lookup(cr.Key); known {
			a.Result = AuthKnownKey
			a.Caller = Caller{Tenant: name, Key: cr.Key, ConfigVersion: c.Version, Queue: route.Queue.Name}
		}
	}
	return a
}

// Authenticate identifies the caller of a request by the configuration in force, and reads the newest one first where the
// key may be newer or withdrawn. There must be a configuration. If the owner has refused the caller, refusedBy is the
// access by which it was admitted, otherwise nil.
func (n *Node) Authenticate(ctx context.Context, cr Credentials, refusedBy *Access) Access {
	arrived := n.clock.Now()
	refreshed := false
	for {
		a := n.view.currentConfig().authenticate(cr, n.opt.KeysRequired)
		in := n.authInput(a, arrived)
		in.behind = refusedBy != nil && a.Config.Version <= refusedBy.Config.Version
		in.refreshed = refreshed
		result, refresh := in.decide()
		if !refresh {
			a.Result = result
			if !a.Admitted() {
				a.Caller = Caller{}
			}
			return a
		}
		n.refreshConfig(ctx, arrived)
		refreshed = true
		n.recordRecheck()
	}
}

func (n *Node) authInput(a Access, arrived time.Duration) authInput {
	age, known := n.confirmation.age(arrived)
	if !known {
		age = maxAge
	}
	failedAt := time.Duration(n.recheckFailedAt.Load())
	return authInput{
		found: a.Result, age: age, strict: n.opt.StrictRevoke, revokeLimit: n.opt.RevokeLimit,
		rechecked: failedAt > 0 && n.clock.Now()-failedAt < recheckPause,
	}
}
