package entry

import (
	"context"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform"
	"github.com/agateyard/agateyard/internal/pool"
)

// refreshPools applies the view, the VM list and the drains to the local pools:
// it adds pools that this process now owns, removes those that have moved, and
// updates the endpoints.
func (l *loop) refreshPools() {
	if l.view.Number == 0 {
		return
	}
	vmsByPool := l.ownedVMs()
	for id, p := range l.pools {
		if l.view.PoolOwner(id) != l.n.self.Incarnation {
			p.close()
			delete(l.pools, id)
			continue
		}
		if _, listed := vmsByPool[id]; !listed {
			vmsByPool[id] = nil
		}
	}
	for id, vms := range vmsByPool {
		p, ok := l.pools[id]
		if !ok {
			p = newOwnedPool(l, id)
			l.pools[id] = p
		}
		l.refreshEndpoints(p, vms)
	}
	l.demandDirty = true
}

// ownedVMs returns the listed VMs of the pools that the view assigns to this
// process, grouped by pool.
func (l *loop) ownedVMs() map[model.PoolID][]platform.VM {
	out := make(map[model.PoolID][]platform.VM)
	ownedByPool := make(map[model.PoolID]bool)
	for _, vm := range l.vms {
		id := poolOf(vm)
		owned, known := ownedByPool[id]
		if !known {
			owned = l.view.PoolOwner(id) == l.n.self.Incarnation
			ownedByPool[id] = owned
		}
		if owned {
			out[id] = append(out[id], vm)
		}
	}
	return out
}

func (l *loop) refreshEndpoints(p *ownedPool, vms []platform.VM) {
	now := l.now()
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = true
		if _, ok := p.sessions[vm.ID]; !ok {
			p.pool.AddEndpoint(now, vm.ID)
			p.open(l.n, vm.ID, vm.Address)
		}
		leaving := vm.State == platform.VMLeaving || l.n.config.Drained(vm.ID)
		p.pool.SetLeaving(now, vm.ID, leaving)
	}
	for id := range p.sessions {
		if !listed[id] {
			p.pool.RemoveEndpoint(now, id)
		}
	}
	l.closeUnusedSessions(p, listed)
	p.pool.MarkEndpointsListed()
	p.dirty = true
}

// closeUnusedSessions ends the sessions of endpoints that are no longer listed
// and have no unsettled attempt.
func (l *loop) closeUnusedSessions(p *ownedPool, listed map[string]bool) {
	keep := make(map[string]bool)
	for _, id := range p.pool.Endpoints() {
		keep[id] = true
	}
	for id, s := range p.sessions {
		if !listed[id] && !keep[id] {
			s.stop()
			delete(p.sessions, id)
		}
	}
}

// applyPool executes the effects that a pool returned.
func (l *loop) applyPool(p *ownedPool, e pool.Effects) {
	for _, s := range e.Settled {
		l.outbox.enqueue(p, s.To, s.Settled)
	}
	for _, c := range e.Commands {
		l.sendCommand(p, c)
	}
	for _, ev := range e.Events {
		l.n.recorder.Record(ev)
	}
	for _, id := range e.Poll {
		p.pollNow(id)
	}
	if e.Superseded {
		l.n.log.WithField("pool", string(p.id)).Warn("entry: pool has a newer owner")
		l.n.start("Peer.View", l.n.refetchView)
	}
	p.dirty = true
}

// schedulePools issues the grants that are currently possible. It issues none before the
// configuration has been read: the drains are not known until then.
func (l *loop) schedulePools() {
	if !l.n.config.Ready() {
		return
	}
	now := l.now()
	remote := make(map[string][]model.Grant)
	for range 2 {
		var local []model.Grant
		for _, p := range l.pools {
			if !p.dirty {
				continue
			}
			p.dirty = false
			for _, a := range p.pool.Schedule(now) {
				if a.To == l.n.self.Incarnation {
					local = append(local, a.Grant)
				} else {
					remote[a.To] = append(remote[a.To], a.Grant)
				}
			}
		}
		if len(local) == 0 {
			break
		}
		// Returned local grants mark their pools as dirty; the second round
		// grants their capacity to other demand.
		l.bindGrants(local)
	}
	for to, grants := range remote {
		l.n.start("Shard.Grants", func() { l.n.sendGrants(to, grants) })
	}
}

// sendGrants sends grants to a shard owner. Lost grants expire at the pool.
func (n *Node) sendGrants(to string, grants []model.Grant) {
	n.notify(n.ctx, to, "Shard.Grants", GrantsArgs{Header: n.header(), Grants: grants})
}

// sendCommand sends a command of the pool to an endpoint.
func (l *loop) sendCommand(p *ownedPool, c pool.Command) {
	client, ok := p.client(c.Endpoint)
	if !ok {
		return
	}
	n := l.n
	if c.Kind == pool.CommandStop {
		command := pool.CancelCommand{Endpoint: c.Endpoint, Attempt: c.Attempt, Token: c.Token}
		n.start("cancel", func() { n.cancelAttempt(p, client, command) })
		return
	}
	n.start("command", func() {
		ctx, cancel := context.WithTimeout(n.ctx, sessionTimeout)
		defer cancel()
		switch c.Kind {
		case pool.CommandThrottle:
			_ = client.Throttle(ctx, c.Token, c.Attempt, true)
		case pool.CommandUnthrottle:
			_ = client.Throttle(ctx, c.Token, c.Attempt, false)
		case pool.CommandCheckpoint:
			_ = client.Checkpoint(ctx, c.Token, c.Attempt)
		}
		n.post(commandSent{pool: p, endpoint: c.Endpoint})
	})
}
