package entry

import (
	"errors"
	"time"
)

// Reasons why a process is not ready.
var (
	errNoConfig           = errors.New("configuration not read yet")
	errNotMember          = errors.New("not a member of the view")
	errTakeoverInProgress = errors.New("shards are being taken over")
	errIsolated           = errors.New("neither the store nor any peer can be reached")
	errLeaving            = errors.New("process is stopping")
)

// isolationTimeout is the time without a gossip message from a peer after which a
// process that can't reach the store reports that it is not ready, so that the
// balancer removes it.
const isolationTimeout = 3 * time.Second

// readiness is the result of the last readiness check of the loop. A nil err
// means ready.
type readiness struct {
	err error
}

// Ready returns nil while the process accepts requests, and otherwise the reason
// why it does not.
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

// updateReady records whether this process can serve requests. A process without
// shards of its own still forwards requests to the owners of their shards.
func (l *loop) updateReady(now time.Time) {
	var err error
	_, member := l.view.Find(l.n.self.Incarnation)
	switch {
	case !member:
		err = errNotMember
	case l.takeover.activeAcquisition != nil && len(l.takeover.held) == 0:
		err = errTakeoverInProgress
	case !l.storeReachable && len(l.view.Members) > 1 && now.Sub(l.lastPeerMessage) > isolationTimeout:
		err = errIsolated
	}
	l.n.ready.Store(&readiness{err: err})
}
