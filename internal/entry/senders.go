package entry

import (
	"context"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/pool"
)

// sendReturns returns unused grants to a pool owner. A lost message is harmless:
// the grants expire.
func (n *Node) sendReturns(to string, refs []GrantRef) {
	n.notify(n.ctx, to, "Pool.Return", ReturnArgs{Header: n.header(), Grants: refs})
}

// sendStops requests a pool owner to cancel attempts. A lost message is repeated
// by stopRetrier.
func (n *Node) sendStops(to string, id model.PoolID, attempts []model.AttemptID) {
	n.notify(n.ctx, to, "Pool.Stop", StopAttemptsArgs{Header: n.header(), Pool: id, Attempts: attempts})
}

// cancelAttempt sends a cancel command and posts its result.
func (n *Node) cancelAttempt(p *ownedPool, client endpoint.Client, command pool.CancelCommand) {
	ctx, cancel := context.WithTimeout(n.ctx, sessionTimeout)
	defer cancel()
	started, err := client.Cancel(ctx, command.Token, command.Attempt)
	n.post(attemptCancelled{pool: p, command: command, started: started, err: err})
}

// attemptCancelled is the result of a cancel command.
type attemptCancelled struct {
	pool    *ownedPool
	command pool.CancelCommand
	started bool
	err     error
}

func (e attemptCancelled) apply(l *loop) {
	l.applyPool(e.pool, e.pool.pool.HandleCancelResult(l.now(), e.command.Attempt, e.started, e.err))
	e.pool.pollNow(e.command.Endpoint)
}

// commandSent reports that a command of the pool was sent.
type commandSent struct {
	pool     *ownedPool
	endpoint string
}

// apply fetches a report immediately, which shows whether the command took effect.
func (e commandSent) apply(*loop) {
	e.pool.pollNow(e.endpoint)
}
