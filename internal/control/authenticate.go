package control

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

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
	// ConfigAge is the age of the configuration at the arrival of the request; negative if it was never confirmed.
	ConfigAge time.Duration
	// ConfigFrom says how the process came by the configuration: "store" or "peer".
	ConfigFrom string
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
	a.Caller = Caller{ConfigVersion: c.Version, Queue: route.Queue.Name, Host: route.Host, Prefix: route.Prefix, Public: true}
	switch {
	case !c.requiresKeys(keysRequired):
		a.Result = AuthOpen
	case route.Public:
		a.Result = AuthPublic
	case cr.Key.IsZero():
		a.Result, a.Caller = AuthNoKey, Caller{}
	default:
		name, known := c.Tenants.Lookup(cr.Key)
		if !known {
			a.Result, a.Caller = AuthUnknownKey, Caller{}
			break
		}
		a.Result = AuthKnownKey
		a.Caller.Tenant, a.Caller.Key, a.Caller.Public = name, cr.Key, false
	}
	return a
}

// Authenticate identifies the caller of a request by the configuration in force, and reads the newest one first where the
// route or key may be newer or withdrawn. There must be a configuration. If the owner has refused the caller, refusedBy is the
// access by which it was admitted, otherwise nil.
func (n *Node) Authenticate(ctx context.Context, cr Credentials, refusedBy *Access) Access {
	arrived := n.clock.Now()
	refreshed := false
	for {
		a := n.config.load().authenticate(cr, n.opt.KeysRequired)
		in := n.authInput(a, arrived)
		in.behind = refusedBy != nil && a.Config.Version <= refusedBy.Config.Version
		in.refreshed = refreshed
		result, refresh := in.decide()
		if !refresh {
			a.Result = result
			if !a.Admitted() {
				a.Caller = Caller{}
			}
			a.ConfigAge, a.ConfigFrom = in.age, in.source
			if in.age == maxAge {
				a.ConfigAge = -1
			}
			n.recordDecision(cr, a)
			return a
		}
		n.refreshConfig(ctx, arrived)
		refreshed = true
		n.recordRecheck()
	}
}

func (n *Node) authInput(a Access, arrived time.Duration) authInput {
	age, known := n.config.age(arrived)
	if !known {
		age = maxAge
	}
	source, _ := n.config.origin()
	failedAt := time.Duration(n.recheckFailedAt.Load())
	return authInput{
		found: a.Result, age: age, limits: n.limits, source: source.from, ownerKnown: n.reachesOwner(),
		strict: n.opt.StrictRevoke, revokeLimit: n.opt.RevokeLimit,
		rechecked: failedAt > 0 && n.clock.Now()-failedAt < recheckPause,
	}
}

// maxLoggedPath bounds the path of a request in a log line.
const maxLoggedPath = 100

// recordDecision logs and counts decisions by a configuration that was not confirmed in time, and logs those that find no
// route: for the caller they are final.
func (n *Node) recordDecision(cr Credentials, a Access) {
	stale := a.ConfigAge < 0 || a.ConfigAge > n.opt.ConfigApply
	if !stale && a.Result != AuthNoRoute {
		return
	}
	event := "no-route"
	if stale {
		event = "stale-decision"
		n.dep.Metrics.staleDecisions.WithLabelValues(string(a.Result)).Inc()
	}
	n.dep.Log.Log(event, logrus.Fields{
		"host": cr.Host, "path": cr.Path[:min(len(cr.Path), maxLoggedPath)], "result": string(a.Result),
		"version": a.Config.Version, "age_ms": a.ConfigAge.Milliseconds(), "from": a.ConfigFrom,
	})
}
