package entry

import (
	"context"
	"errors"
	"net/rpc"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
)

const (
	// resolveInterval is the time between two queries about unresolved dispatches.
	resolveInterval = 500 * time.Millisecond
	resolveTimeout  = time.Second
	// grantSlack is added to the TTL of a grant. A dispatch that arrives later
	// can't start anything.
	grantSlack = time.Second
	// ownerGrace is the time allowed for replies in flight from the previous
	// owner of a pool.
	ownerGrace = 2 * time.Second
	// leaseMargin is waited after the lease of a silent endpoint, as by its pool owner,
	// before the attempts there count as over.
	leaseMargin = 2 * time.Second
	// dispatchSlack is added to the run limit to get the timeout of a dispatch.
	dispatchSlack = 5 * time.Second
)

// dispatches sends starts to pool owners and resolves those without a reply.
type dispatches struct {
	l             *loop
	unresolved    map[model.AttemptID]unresolvedDispatch
	queryInFlight map[model.PoolID]bool
	nextQuery     time.Time
}

// unresolvedDispatch is an attempt whose dispatch reply did not arrive, or whose
// pool got a new owner.
type unresolvedDispatch struct {
	pool         model.PoolID
	endpoint     string
	instance     string    // of the endpoint when the grant was issued
	started      bool      // the attempt may have started: it must not be settled as not started
	resolveAfter time.Time // by then a late dispatch is refused, and replies in flight have arrived
}

func newDispatches(l *loop) *dispatches {
	return &dispatches{
		l:             l,
		unresolved:    make(map[model.AttemptID]unresolvedDispatch),
		queryInFlight: make(map[model.PoolID]bool),
	}
}

// start dispatches the starts of one grant to its pool owner.
func (d *dispatches) start(starts []shard.Start) {
	first := starts[0]
	t := d.l.templates[first.Grant.Template]
	args := DispatchArgs{
		Grant:       GrantRef{Pool: first.Grant.Pool, ID: first.Grant.ID},
		Shard:       first.Key.Shard(),
		Template:    first.Grant.Template,
		Request:     first.Key.ID,
		Attempts:    orderByGrant(first.Grant, starts),
		ContentType: first.ContentType,
		Body:        first.Body,
	}
	limit := first.RunLimit + dispatchSlack
	d.l.n.start("dispatch", func() { d.l.n.dispatch(first.Grant, args, connClassFor(t), limit) })
}

// orderByGrant returns the attempts in the order of the grant's endpoints.
func orderByGrant(g model.Grant, starts []shard.Start) []model.AttemptID {
	remaining := append([]shard.Start(nil), starts...)
	out := make([]model.AttemptID, 0, len(starts))
	for _, e := range g.Endpoints {
		i := slices.IndexFunc(remaining, func(s shard.Start) bool { return s.Endpoint == e })
		if i < 0 {
			continue
		}
		out = append(out, remaining[i].Attempt)
		remaining = slices.Delete(remaining, i, i+1)
	}
	return out
}

// dispatch performs the call and posts its result.
func (n *Node) dispatch(g model.Grant, args DispatchArgs, class connClass, limit time.Duration) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	ctx, cancel := context.WithTimeout(n.ctx, limit)
	defer cancel()
	args.Header = n.header()
	var reply DispatchReply
	var err error
	if g.Owner == n.self.Incarnation {
		reply, err = n.dispatchLocal(ctx, args)
	} else {
		err = n.peers.call(ctx, g.Owner, class, "Pool.Dispatch", args, &reply)
	}
	if err == nil {
		n.observe(reply.Header)
	}
	n.post(dispatchReturned{grant: g, attempts: args.Attempts, reply: reply, err: err})
}

// dispatchReturned is the result of a dispatch.
type dispatchReturned struct {
	grant    model.Grant
	attempts []model.AttemptID
	reply    DispatchReply
	err      error
}

func (e dispatchReturned) apply(l *loop) {
	if e.err == nil {
		for _, s := range e.reply.Settled {
			if l.takeover.acceptsCompletion(s.Attempt) {
				l.acks.addDispatchReply(s.Attempt, e.grant.Pool)
			}
		}
		l.settleOrForward(e.reply.Settled)
		return
	}
	if nothingStarted(e.err) {
		l.settleOrForward(notStartedCompletions(e.attempts))
		return
	}
	resolveAfter := l.now().Add(e.grant.TTL + grantSlack)
	for i, a := range e.attempts {
		l.dispatches.unresolved[a] = unresolvedDispatch{
			pool: e.grant.Pool, endpoint: e.grant.Endpoints[i], instance: instanceAt(e.grant, i), resolveAfter: resolveAfter,
		}
	}
}

// nothingStarted reports whether a dispatch that failed is known to have started nothing:
// it was not sent, or the pool owner has refused it. After a panic in the pool owner's
// handler the attempts may have started.
func nothingStarted(err error) bool {
	var refused rpc.ServerError
	return errors.Is(err, errNotSent) || errors.As(err, &refused) && refused.Error() != errPanic.Error()
}

// instanceAt returns the instance of the i-th endpoint of a grant.
func instanceAt(g model.Grant, i int) string {
	if i < len(g.Instances) {
		return g.Instances[i]
	}
	return ""
}

// poolOwnersChanged schedules queries to the new owners of pools about live
// attempts. A completion that the previous owner knew but had not reported would
// otherwise be lost.
func (d *dispatches) poolOwnersChanged(old, v model.View) {
	now := d.l.now()
	live := d.l.table.Live(func(id model.PoolID) bool { return old.PoolOwner(id) != v.PoolOwner(id) })
	for pool, attempts := range live {
		for _, a := range attempts {
			if _, known := d.unresolved[a.Attempt]; known {
				continue
			}
			d.unresolved[a.Attempt] = unresolvedDispatch{
				pool: pool, endpoint: a.Endpoint, instance: a.Instance, started: true, resolveAfter: now.Add(ownerGrace),
			}
		}
	}
}

// notStartedCompletions returns completions for attempts that are known not to
// have started.
func notStartedCompletions(attempts []model.AttemptID) []model.Settled {
	out := make([]model.Settled, len(attempts))
	for i, a := range attempts {
		out[i] = model.Settled{Attempt: a, End: model.AttemptNotStarted}
	}
	return out
}

// resolve queries pool owners about unresolved dispatches.
func (d *dispatches) resolve(now time.Time) {
	if len(d.unresolved) == 0 || now.Before(d.nextQuery) {
		return
	}
	d.nextQuery = now.Add(resolveInterval)
	byPool := make(map[model.PoolID]map[model.ShardID]bool)
	for a, unresolved := range d.unresolved {
		shard, ok := a.Shard()
		if !ok || now.Before(unresolved.resolveAfter) || d.queryInFlight[unresolved.pool] {
			continue
		}
		if byPool[unresolved.pool] == nil {
			byPool[unresolved.pool] = make(map[model.ShardID]bool)
		}
		byPool[unresolved.pool][shard] = true
	}
	for pool, shards := range byPool {
		d.queryPoolOwner(pool, shards)
	}
}

func (d *dispatches) queryPoolOwner(pool model.PoolID, shards map[model.ShardID]bool) {
	d.queryInFlight[pool] = true
	n, view := d.l.n, d.l.view
	n.start("Pool.Attempts", func() {
		reply, err := n.queryAttempts(view, pool, shards)
		n.post(attemptsResolved{pool: pool, reply: reply, err: err})
	})
}

// attemptsResolved is the reply of a pool owner about unresolved dispatches.
type attemptsResolved struct {
	pool  model.PoolID
	reply AttemptsReply
	err   error
}

func (e attemptsResolved) apply(l *loop) {
	d := l.dispatches
	delete(d.queryInFlight, e.pool)
	if e.err != nil {
		return
	}
	known := make(map[model.AttemptID]model.AttemptState, len(e.reply.Attempts))
	for _, a := range e.reply.Attempts {
		known[a.Attempt] = a
	}
	for a, unresolved := range d.unresolved {
		if unresolved.pool != e.pool || l.now().Before(unresolved.resolveAfter) {
			continue
		}
		state, listed := known[a]
		switch {
		case listed && state.Settled != nil:
			delete(d.unresolved, a)
			l.settleOrForward([]model.Settled{*state.Settled})
		case listed:
			// Still running; the completion follows in Shard.Ended.
			delete(d.unresolved, a)
		case e.reply.Complete && unresolved.mayBeRunning(l.now(), e.reply):
			// Asked again: the endpoint may report.
		case e.reply.Complete:
			delete(d.unresolved, a)
			l.settleOrForward([]model.Settled{unresolved.unlistedCompletion(a, e.reply)})
		}
	}
}

// mayBeRunning reports whether the attempt may be running on an endpoint that has not
// reported to the pool owner: the endpoint may hold a lease of the previous owner.
func (d unresolvedDispatch) mayBeRunning(now time.Time, reply AttemptsReply) bool {
	_, reported := reply.Reported[d.endpoint]
	return !reported && now.Before(d.resolveAfter.Add(endpoint.LeaseTTL+leaseMargin))
}

// unlistedCompletion returns the completion of an attempt that a complete reply
// does not list. An endpoint that has reported under the owner's token refuses
// starts with older tokens, so the attempt has not started there. This holds only
// for the instance that the grant named, since a restarted endpoint has lost its
// record of the attempt, and only if started is not set. Otherwise the state of
// the attempt is unknown.
func (d unresolvedDispatch) unlistedCompletion(a model.AttemptID, reply AttemptsReply) model.Settled {
	if instance, ok := reply.Reported[d.endpoint]; ok && instance == d.instance && !d.started {
		return model.Settled{Attempt: a, End: model.AttemptNotStarted, Endpoint: d.endpoint}
	}
	return model.Settled{Attempt: a, End: model.AttemptUnknown, Endpoint: d.endpoint}
}
