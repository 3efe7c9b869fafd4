package entry

import (
	"context"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
)

// recoveryRetryInterval is the time between two questions to the owner of a
// pool that has not heard from all its endpoints.
const recoveryRetryInterval = 100 * time.Millisecond

// namedEndpoints are the endpoints and instances that recorded intents name, by pool.
type namedEndpoints map[model.PoolID]map[namedEndpoint]bool

// namedEndpoint is an endpoint of a recorded intent.
type namedEndpoint struct {
	endpoint string
	instance string
}

// add takes the endpoints of an intent.
func (e namedEndpoints) add(r shard.Record) {
	if r.Intent == nil {
		return
	}
	for _, a := range r.Intent.Attempts {
		if e[a.Pool] == nil {
			e[a.Pool] = make(map[namedEndpoint]bool)
		}
		e[a.Pool][namedEndpoint{endpoint: a.Endpoint, instance: a.Instance}] = true
	}
}

// startRecovery asks the owners of all pools for attempts of shards whose last
// owner is dead.
func (l *loop) startRecovery(v model.View, shards []model.ShardID, named namedEndpoints) {
	set := make(map[model.ShardID]bool, len(shards))
	for _, s := range shards {
		set[s] = true
	}
	l.n.log.WithField("shards", len(shards)).WithField("view", v.Number).Info("shard: recovery started")
	for _, id := range l.knownPools() {
		go l.n.recoverPool(id, set, named[id])
	}
}

// recoverPool asks until the owner of the pool has a complete answer.
func (n *Node) recoverPool(id model.PoolID, shards map[model.ShardID]bool, named map[namedEndpoint]bool) {
	for n.ctx.Err() == nil {
		reply, err := n.askAttempts(n.currentView(), id, shards)
		if err == nil && reply.Complete {
			n.post(poolRecovered{pool: id, shards: shards, named: named, reply: reply})
			return
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(recoveryRetryInterval):
		}
	}
}

// poolRecovered is the complete answer of one pool owner.
type poolRecovered struct {
	pool   model.PoolID
	shards map[model.ShardID]bool
	named  map[namedEndpoint]bool // of recorded intents
	reply  AttemptsReply
}

// unaccounted returns the endpoints whose attempts the pool owner can't know:
// those that it can't reach, and those of recorded intents that have left the VM
// list or have restarted since, and so forgotten what they ran.
func (e poolRecovered) unaccounted() []string {
	out := slices.Clone(e.reply.Unreachable)
	for n := range e.named {
		instance, reported := e.reply.Reported[n.endpoint]
		same := reported && instance == n.instance
		if !same && !slices.Contains(out, n.endpoint) {
			out = append(out, n.endpoint)
		}
	}
	return out
}

func (e poolRecovered) apply(l *loop) {
	byShard := make(map[model.ShardID][]model.AttemptState)
	for _, a := range e.reply.Attempts {
		if s, ok := a.Attempt.Shard(); ok {
			byShard[s] = append(byShard[s], a)
		}
	}
	now := l.now()
	unaccounted := e.unaccounted()
	for s := range e.shards {
		if !l.takeover.open(s) {
			continue
		}
		l.applyShard(l.table.RecoveryResult(now, shard.RecoveryReport{
			Shard:       s,
			Pool:        e.pool,
			Attempts:    byShard[s],
			Reachable:   true,
			Unreachable: unaccounted,
		}))
	}
}

// askAttempts asks the owner of a pool for the attempts of shards. The message
// carries the view, after which the owner takes nothing from an older shard owner.
func (n *Node) askAttempts(v model.View, id model.PoolID, shards map[model.ShardID]bool) (AttemptsReply, error) {
	ctx, cancel := context.WithTimeout(n.ctx, resolveTimeout)
	defer cancel()
	args := AttemptsArgs{Header: n.header(), Latest: v, Pool: id}
	for s := range shards {
		args.Shards = append(args.Shards, s)
	}
	owner := v.PoolOwner(id)
	if owner == n.self.Incarnation {
		return n.attemptsLocal(ctx, args)
	}
	var reply AttemptsReply
	err := n.peers.call(ctx, owner, connControl, "Pool.Attempts", args, &reply)
	if err == nil {
		n.observe(reply.Header)
	}
	return reply, err
}

// attemptsLocal answers for an own pool.
func (n *Node) attemptsLocal(ctx context.Context, args AttemptsArgs) (AttemptsReply, error) {
	return ask(ctx, n, func(result chan<- AttemptsReply) event {
		return attemptsWanted{args: args, result: result}
	})
}

// attemptsWanted asks the loop for the attempts of shards in an own pool.
type attemptsWanted struct {
	args   AttemptsArgs
	result chan<- AttemptsReply
}

func (e attemptsWanted) apply(l *loop) {
	l.installView(e.args.Latest)
	p, ok := l.pools[e.args.Pool]
	if !ok || l.view.Number < e.args.Latest.Number {
		// Also while the VM list has not been read: the pool will come.
		e.result <- AttemptsReply{}
		return
	}
	shards := make(map[model.ShardID]bool, len(e.args.Shards))
	for _, s := range e.args.Shards {
		shards[s] = true
	}
	states, complete := p.pool.Attempts(shards)
	e.result <- AttemptsReply{
		Complete: complete, Attempts: states,
		Reported: p.pool.Instances(), Unreachable: p.pool.Unreachable(),
	}
}
