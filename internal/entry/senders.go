package entry

import (
	"context"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/pool"
)

// sendReturns gives grants back. A lost message is harmless: the grants become void.
func (n *Node) sendReturns(to string, refs []GrantRef) {
	n.notify(n.ctx, to, "Pool.Return", ReturnArgs{Header: n.header(), Grants: refs})
}

// sendStops asks a pool owner to cancel attempts.
func (n *Node) sendStops(to string, id model.PoolID, attempts []model.AttemptID) {
	n.notify(n.ctx, to, "Pool.Stop", StopAttemptsArgs{Header: n.header(), Pool: id, Attempts: attempts})
}

// cancelAttempt sends a cancel command and posts its result.
func (n *Node) cancelAttempt(p *ownedPool, client endpoint.Client, order pool.CancelCommand) {
	ctx, cancel := context.WithTimeout(n.ctx, sessionTimeout)
	defer cancel()
	started, err := client.Cancel(ctx, order.Token, order.Attempt)
	n.post(attemptCancelled{pool: p, order: order, started: started, err: err})
}

// attemptCancelled is the result of a cancel command.
type attemptCancelled struct {
	pool    *ownedPool
	order   pool.CancelCommand
	started bool
	err     error
}

func (e attemptCancelled) apply(l *loop) {
	l.applyPool(e.pool, e.pool.pool.HandleCancelResult(l.now(), e.order.Attempt, e.started, e.err))
	e.pool.kick(e.order.Endpoint)
}

// orderSent says that a command which the pool decided on was sent.
type orderSent struct {
	pool     *ownedPool
	endpoint string
}

// apply fetches a report at once, which tells whether the command took effect.
func (e orderSent) apply(*loop) {
	e.pool.kick(e.endpoint)
}
