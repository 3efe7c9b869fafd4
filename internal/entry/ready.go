package entry

import (
	"errors"
	"time"
)

// Reasons for not being ready.
var (
	errNoConfig   = errors.New("configuration not read yet")
	errNotMember  = errors.New("not a member of the view")
	errTakingOver = errors.New("shards are being taken over")
	errIsolated   = errors.New("neither the store nor any peer can be reached")
	errLeaving    = errors.New("process is stopping")
)

// isolatedAfter without word from the store or a peer makes a process take
// itself off the balancer.
const isolatedAfter = 3 * time.Second

// readiness is what the loop last found. The zero value is not ready.
type readiness struct {
	err error
}

// Ready returns nil while the process takes requests, else the reason.
func (n *Node) Ready() error {
	if !n.config.Ready() {
		return errNoConfig
	}
	r := n.ready.Load()
	if r == nil {
		return errNotMember
	}
	return r.err
}

// updateReady records whether requests can be served here. A process that
// serves nothing itself still passes requests on to the owners of their shards.
func (l *loop) updateReady(now time.Time) {
	var err error
	_, member := l.view.Find(l.n.self.Incarnation)
	switch {
	case !member:
		err = errNotMember
	case l.takeover.acquire != nil && len(l.takeover.held) == 0:
		err = errTakingOver
	case !l.storeReachable && len(l.view.Members) > 1 && now.Sub(l.peerHeard) > isolatedAfter:
		err = errIsolated
	}
	l.n.ready.Store(&readiness{err: err})
}
