package entry

import (
	"context"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
)

// recoveryRetryInterval is the time between two queries to a pool owner that
// does not have reports from all its endpoints yet.
const recoveryRetryInterval = 100 * time.Millisecond

// intentEndpoints holds the endpoints and instances in recorded intents, by pool.
type intentEndpoints map[model.PoolID]map[intentEndpoint]bool

// intentEndpoint is an endpoint and its instance in a recorded intent.
type intentEndpoint struct {
	endpoint string
	instance string
}

// add adds the endpoints of the record if it is an intent.
func (e intentEndpoints) add(r shard.Record) {
	if r.Intent == nil {
		return
	}
	for _, a := range r.Intent.Attempts {
		if e[a.Pool] == nil {
			e[a.Pool] = make(map[intentEndpoint]bool)
		}
		e[a.Pool][intentEndpoint{endpoint: a.Endpoint, instance: a.Instance}] = true
	}
}

// addAll adds the endpoints of all intents among the records.
func (e intentEndpoints) addAll(records []shard.Record) {
	for _, r := range records {
		e.add(r)
	}
}

// startRecovery queries the owners of all known pools for attempts of shards whose
// last owner is dead, or may be.
func (l *loop) startRecovery(v model.View, shards []model.ShardID, intended intentEndpoints) {
	shardSet := make(map[model.ShardID]bool, len(shards))
	for _, s := range shards {
		shardSet[s] = true
	}
	l.n.log.WithField("shards", len(shards)).WithField("view", v.Number).Info("shard: recovery started")
	for _, id := range l.knownPools() {
		l.n.start("recovery", func() { l.n.recoverPool(id, shardSet, intended[id]) })
	}
}

// recoverPool queries the owner of a pool until it returns a complete reply.
func (n *Node) recoverPool(id model.PoolID, shards map[model.ShardID]bool, intended map[intentEndpoint]bool) {
	for n.ctx.Err() == nil {
		reply, err := n.queryAttempts(n.currentView(), id, shards)
		if err == nil && reply.Complete {
			n.post(poolRecovered{pool: id, shards: shards, intended: intended, reply: reply})
			return
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(recoveryRetryInterval):
		}
	}
}

// poolRecovered is the complete reply of one pool owner.
type poolRecovered struct {
	pool     model.PoolID
	shards   map[model.ShardID]bool
	intended map[intentEndpoint]bool // in recorded intents
	reply    AttemptsReply
}

// unaccounted returns the endpoints whose attempts the pool owner can't know:
// those that it can't reach, and those of recorded intents that have left the VM
// list, or have restarted since and lost their records of attempts.
func (e poolRecovered) unaccounted() []string {
	out := slices.Clone(e.reply.Unreachable)
	for n := range e.intended {
		instance, reported := e.reply.Reported[n.endpoint]
		sameInstance := reported && instance == n.instance
		if !sameInstance && !slices.Contains(out, n.endpoint) {
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
		if !l.takeover.serves(s) {
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

// queryAttempts queries the owner of a pool for the attempts of shards. The
// message carries the view. Once the pool owner has installed it, it refuses
// dispatches from previous shard owners.
func (n *Node) queryAttempts(v model.View, id model.PoolID, shards map[model.ShardID]bool) (AttemptsReply, error) {
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

// attemptsLocal returns the attempts of shards in a local pool.
func (n *Node) attemptsLocal(ctx context.Context, args AttemptsArgs) (AttemptsReply, error) {
	return postAndWait(ctx, n, func(result chan<- AttemptsReply) event {
		return attemptsRequest{args: args, result: result}
	})
}

// attemptsRequest requests the attempts of shards in a local pool from the loop.
type attemptsRequest struct {
	args   AttemptsArgs
	result chan<- AttemptsReply
}

func (e attemptsRequest) apply(l *loop) {
	l.installView(e.args.Latest)
	p, ok := l.pools[e.args.Pool]
	if !ok || l.view.Number < e.args.Latest.Number {
		// Incomplete, so that the sender retries. The pool may be missing because
		// the VM list has not been read yet.
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
