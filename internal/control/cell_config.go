package control

import (
	"strings"

	"github.com/agateyard/agateyard/internal/scheduler"
	"github.com/agateyard/agateyard/internal/tenant"
)

// CellConfig is one version of the configuration of routes and queues in the users' platform.
type CellConfig struct {
	Version   int64
	Routes    []Route
	Tenants   *tenant.Directory
	BodyLimit int64  // largest body of a request in bytes
	Raw       []byte // as stored, for processes that can't reach the store
}

// Route sends the requests of a host and path prefix to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  scheduler.Queue
	Public bool // served without a key
}

// Match returns the route with the longest matching prefix and the rest of the path.
func (c *CellConfig) Match(host, path string) (route *Route, rest string, ok bool) {
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if route == nil || len(r.Prefix) > len(route.Prefix) {
			route = r
		}
	}
	if route == nil {
		return nil, "", false
	}
	return route, path[len(route.Prefix):], true
}

// hasRoute reports whether the requests of a host and path prefix go to a queue.
func (c *CellConfig) hasRoute(host, prefix, queue string) bool {
	for i := range c.Routes {
		if r := &c.Routes[i]; r.Host == host && r.Prefix == prefix && r.Queue.Name == queue {
			return true
		}
	}
	return false
}

func (c *CellConfig) queues() []scheduler.Queue {
	out := make([]scheduler.Queue, 0, len(c.Routes))
	for i := range c.Routes {
		out = append(out, c.Routes[i].Queue)
	}
	return out
}

// requiresKeys reports whether callers of routes that aren't public need a key. Settings may require keys even if the
// configuration lists no tenants.
func (c *CellConfig) requiresKeys(bySettings bool) bool {
	return bySettings || len(c.Tenants.Tenants()) > 0
}

// needsKey reports whether the route of a queue needs a key; false if the configuration has no such route.
func (c *CellConfig) needsKey(queue string, requiredBySettings bool) bool {
	if !c.requiresKeys(requiredBySettings) {
		return false
	}
	for i := range c.Routes {
		if c.Routes[i].Queue.Name == queue {
			return !c.Routes[i].Public
		}
	}
	return false
}
