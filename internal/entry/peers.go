package entry

import (
	"context"
	"sync"

	"github.com/agateyard/agateyard/internal/model"
)

// peers holds the clients of other entry processes by incarnation. It is safe
// for concurrent use.
type peers struct {
	mu   sync.Mutex
	byID map[string]*peer
}

func newPeers() *peers {
	return &peers{byID: make(map[string]*peer)}
}

// update adds the members of the view. Peers that have left are kept until
// removeExcept, since they may still hand over state.
func (ps *peers) update(v model.View) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, m := range v.Members {
		if _, ok := ps.byID[m.Incarnation]; !ok {
			ps.byID[m.Incarnation] = newPeer(m.RPCAddress)
		}
	}
}

// removeExcept closes and removes the peers that keep does not select. Members and
// processes that may still hand over state must be kept.
func (ps *peers) removeExcept(keep func(incarnation string) bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for id, p := range ps.byID {
		if keep(id) {
			continue
		}
		p.closeConnections()
		delete(ps.byID, id)
	}
}

// add adds a process that is not a member of the view.
func (ps *peers) add(incarnation, address string) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if _, ok := ps.byID[incarnation]; !ok {
		ps.byID[incarnation] = newPeer(address)
	}
}

func (ps *peers) get(incarnation string) (*peer, bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p, ok := ps.byID[incarnation]
	return p, ok
}

// call performs an RPC to the incarnation. See peer.call for the errors.
func (ps *peers) call(ctx context.Context, incarnation string, class connClass, method string, args, reply any) error {
	p, ok := ps.get(incarnation)
	if !ok {
		return errNotSent
	}
	return p.call(ctx, class, method, args, reply)
}

func (ps *peers) close() {
	ps.removeExcept(func(string) bool { return false })
}
