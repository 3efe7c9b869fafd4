package entry

import (
	"context"

	"github.com/agateyard/agateyard/internal/model"
)

// viewArrived is a view from the store.
type viewArrived struct {
	view           model.View
	storeReachable bool
}

func (e viewArrived) apply(l *loop) {
	if e.storeReachable != l.storeReachable {
		l.storeReachable = e.storeReachable
		l.applyShardJournalState()
	}
	l.installView(e.view)
}

// viewOffered is a view learned from another process.
type viewOffered struct {
	view model.View
}

func (e viewOffered) apply(l *loop) { l.installView(e.view) }

// installView follows a view that is newer than the one held.
func (l *loop) installView(v model.View) {
	if v.Number <= l.view.Number {
		return
	}
	old := l.view
	l.view = v
	l.n.view.Store(&v)
	l.n.peers.update(v)
	l.n.peers.forget(func(id string) bool { return v.Has(id) })
	l.n.journal.SetMembers(max(1, len(v.Members)))
	l.table.SetMembers(len(v.Members))
	l.n.log.WithField("view", v.Number).WithField("members", len(v.Members)).Info("entry: view in force")
	l.demand.forget(v)
	l.dropMembers(old, v)
	l.refreshPools()
	l.takeover.install(v)
	l.dispatches.ownersChanged(old, v)
	l.n.viewNews.notify()
}

// dropMembers forgets what members stated that are no longer in the view.
func (l *loop) dropMembers(old, v model.View) {
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

// applyShardJournalState tells the table whether work that needs the journal can run.
func (l *loop) applyShardJournalState() {
	l.table.SetJournalWritable(l.now(), l.storeReachable)
}

// fetchView takes a newer view from the process that announced it.
func (n *Node) fetchView(from string) {
	if !n.fetching.TryLock() {
		return
	}
	go func() {
		defer n.fetching.Unlock()
		ctx, cancel := context.WithTimeout(n.ctx, gossipTimeout)
		defer cancel()
		var reply ViewReply
		if err := n.peers.call(ctx, from, connControl, "Peer.View", Empty{}, &reply); err != nil {
			return
		}
		n.post(viewOffered{view: reply.View})
	}()
}

// refetchView asks every peer for its view.
func (n *Node) refetchView() {
	for _, m := range n.currentView().Members {
		if m.Incarnation != n.self.Incarnation {
			n.fetchView(m.Incarnation)
		}
	}
}
