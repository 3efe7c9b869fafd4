package entry

import (
	"context"
	"sync"

	"github.com/agateyard/agateyard/internal/model"
)

// storeViewReceived carries a view from the store and the reachability of the store.
type storeViewReceived struct {
	view           model.View
	storeReachable bool
}

func (e storeViewReceived) apply(l *loop) {
	if e.storeReachable != l.storeReachable {
		l.storeReachable = e.storeReachable
		l.applyStoreState()
	}
	l.installView(e.view)
}

// peerViewReceived carries a view from another process.
type peerViewReceived struct {
	view model.View
}

func (e peerViewReceived) apply(l *loop) { l.installView(e.view) }

// installView applies a view if it is newer than the current one.
func (l *loop) installView(v model.View) {
	if v.Number <= l.view.Number {
		return
	}
	old := l.view
	l.view = v
	l.n.view.Store(&v)
	l.n.peers.update(v)
	l.n.peers.removeExcept(func(id string) bool { return v.Has(id) })
	l.n.journal.SetMembers(max(1, len(v.Members)))
	l.table.SetMembers(len(v.Members))
	l.n.log.WithField("view", v.Number).WithField("members", len(v.Members)).Info("entry: view installed")
	l.demand.stopSenders(v)
	l.removeDepartedMembers(old, v)
	l.refreshPools()
	l.takeover.install(v)
	l.dispatches.poolOwnersChanged(old, v)
	l.n.viewChanged.notify()
}

// removeDepartedMembers removes the demand of members that are no longer in the
// view, and the summaries of pools whose owner has changed.
func (l *loop) removeDepartedMembers(old, v model.View) {
	for _, m := range old.Members {
		if _, live := v.Find(m.Incarnation); live {
			continue
		}
		for _, p := range l.pools {
			p.pool.DropDemand(m.Incarnation)
			delete(p.demand, m.Incarnation)
		}
	}
	for id, s := range l.summaries {
		if v.PoolOwner(id) != s.Owner {
			l.dropSummary(id)
		}
	}
}

// applyStoreState tells the shard table whether the journal can be written.
func (l *loop) applyStoreState() {
	l.table.SetJournalWritable(l.now(), l.storeReachable)
}

// fetchView fetches the view of a process, unless another fetch is in flight.
func (n *Node) fetchView(from string) {
	if !n.fetchingView.TryLock() {
		return
	}
	n.start("Peer.View", func() {
		defer n.fetchingView.Unlock()
		n.fetchViewFrom(from)
	})
}

func (n *Node) fetchViewFrom(from string) {
	if v, err := n.viewOf(from); err == nil {
		n.post(peerViewReceived{view: v})
	}
}

// viewOf returns the newest view that a process knows.
func (n *Node) viewOf(from string) (model.View, error) {
	ctx, cancel := context.WithTimeout(n.ctx, gossipTimeout)
	defer cancel()
	var reply ViewReply
	err := n.peers.call(ctx, from, connControl, "Peer.View", Empty{}, &reply)
	return reply.View, err
}

// peerViews returns the newest views of all peers that can be reached: one peer alone may
// be unreachable, or not know the newer view either.
func (n *Node) peerViews() []model.View {
	var mu sync.Mutex
	var views []model.View
	var fetches sync.WaitGroup
	for _, m := range n.currentView().Members {
		if m.Incarnation == n.self.Incarnation {
			continue
		}
		fetches.Add(1)
		n.start("Peer.View", func() {
			defer fetches.Done()
			if v, err := n.viewOf(m.Incarnation); err == nil {
				mu.Lock()
				defer mu.Unlock()
				views = append(views, v)
			}
		})
	}
	fetches.Wait()
	return views
}

// refetchView fetches the views of all peers, unless another fetch is in flight.
func (n *Node) refetchView() {
	if !n.fetchingView.TryLock() {
		return
	}
	defer n.fetchingView.Unlock()
	for _, v := range n.peerViews() {
		n.post(peerViewReceived{view: v})
	}
}
