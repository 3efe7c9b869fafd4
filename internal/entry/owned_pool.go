package entry

import (
	"context"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/pool"
)

// ownedPool is a pool that this process owns, with the sessions of its endpoints.
type ownedPool struct {
	id       model.PoolID
	token    uint64
	pool     *pool.Pool
	sessions map[string]*session
	dirty    bool            // grants may be possible
	demand   map[string]bool // shard owners with demand on this pool
}

func newOwnedPool(l *loop, id model.PoolID) *ownedPool {
	p := &ownedPool{
		id:       id,
		token:    l.view.Number,
		sessions: make(map[string]*session),
		demand:   make(map[string]bool),
	}
	p.pool = pool.New(id, l.n.self.Incarnation, p.token, l.n.cfg.poolConfig(), l.rnd)
	p.pool.SetTemplates(l.now(), l.templates)
	return p
}

func (p *ownedPool) hasDemand() bool { return len(p.demand) > 0 }

// open starts a session with an endpoint.
func (p *ownedPool) open(n *Node, id, address string) {
	ctx, cancel := context.WithCancel(n.ctx)
	s := newSession(p, id, protectedClient{Client: n.cfg.NewClient(address), n: n})
	s.cancel = cancel
	p.sessions[id] = s
	n.start("session", func() { s.run(ctx, n) })
}

// close ends all sessions. Start calls in flight keep their connections.
func (p *ownedPool) close() {
	for id, s := range p.sessions {
		s.stop()
		delete(p.sessions, id)
	}
}

// client returns the client of an endpoint.
func (p *ownedPool) client(id string) (endpoint.Client, bool) {
	s, ok := p.sessions[id]
	if !ok {
		return nil, false
	}
	return s.client, true
}

// pollNow fetches a report of the endpoint immediately.
func (p *ownedPool) pollNow(id string) {
	if s, ok := p.sessions[id]; ok {
		s.pollNow()
	}
}
