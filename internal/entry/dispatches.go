package entry

import (
	"context"
	"errors"
	"net/rpc"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
)

const (
	// resolveInterval is the time between two questions about lost dispatches.
	resolveInterval = 500 * time.Millisecond
	resolveTimeout  = time.Second
	// grantSlack beyond the time limit of a grant, after which a dispatch that
	// is still on its way can't start anything.
	grantSlack = time.Second
	// ownerGrace is the time for replies that the old owner of a pool has sent.
	ownerGrace = 2 * time.Second
	// dispatchSlack is added to the run limit for the time limit of a dispatch.
	dispatchSlack = 5 * time.Second
)

// dispatches follows the starts that this process has sent to pool owners.
type dispatches struct {
	l       *loop
	lost    map[model.AttemptID]lostDispatch
	asking  map[model.PoolID]bool
	nextAsk time.Time
}

// lostDispatch is an attempt whose dispatch reply did not arrive.
type lostDispatch struct {
	pool     model.PoolID
	endpoint string
	instance string    // of the endpoint when the grant was issued
	started  bool      // the start was confirmed; only the end is not known
	voidFrom time.Time // from here on the owner refuses a dispatch that comes late
}

func newDispatches(l *loop) *dispatches {
	return &dispatches{
		l:      l,
		lost:   make(map[model.AttemptID]lostDispatch),
		asking: make(map[model.PoolID]bool),
	}
}

// start sends the starts of one grant to its pool owner.
func (d *dispatches) start(starts []shard.Start) {
	first := starts[0]
	t := d.l.templates[first.Grant.Template]
	args := DispatchArgs{
		Grant:       GrantRef{Pool: first.Grant.Pool, ID: first.Grant.ID},
		Shard:       first.Key.Shard(),
		Template:    first.Grant.Template,
		Request:     first.Key.ID,
		Attempts:    inGrantOrder(first.Grant, starts),
		ContentType: first.ContentType,
		Body:        first.Body,
	}
	limit := first.RunLimit + dispatchSlack
	go d.l.n.dispatch(first.Grant, args, connClassFor(t), limit)
}

// inGrantOrder returns the attempts in the order of the grant's endpoints.
func inGrantOrder(g model.Grant, starts []shard.Start) []model.AttemptID {
	left := append([]shard.Start(nil), starts...)
	out := make([]model.AttemptID, 0, len(starts))
	for _, e := range g.Endpoints {
		i := slices.IndexFunc(left, func(s shard.Start) bool { return s.Endpoint == e })
		if i < 0 {
			continue
		}
		out = append(out, left[i].Attempt)
		left = slices.Delete(left, i, i+1)
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
	n.post(dispatched{grant: g, attempts: args.Attempts, reply: reply, err: err})
}

// dispatched is the result of a dispatch.
type dispatched struct {
	grant    model.Grant
	attempts []model.AttemptID
	reply    DispatchReply
	err      error
}

func (e dispatched) apply(l *loop) {
	if e.err == nil {
		for _, s := range e.reply.Settled {
			if l.takeover.settles(s.Attempt) {
				l.acks.replied(s.Attempt, e.grant.Pool)
			}
		}
		l.settleOrForward(e.reply.Settled)
		return
	}
	var refused rpc.ServerError
	if errors.Is(e.err, errNotSent) || errors.As(e.err, &refused) {
		l.settleOrForward(notStarted(e.attempts))
		return
	}
	voidFrom := l.now().Add(e.grant.TTL + grantSlack)
	for i, a := range e.attempts {
		l.dispatches.lost[a] = lostDispatch{
			pool: e.grant.Pool, endpoint: e.grant.Endpoints[i], instance: instanceAt(e.grant, i), voidFrom: voidFrom,
		}
	}
}

// instanceAt returns the instance of the i-th endpoint of a grant.
func instanceAt(g model.Grant, i int) string {
	if i < len(g.Instances) {
		return g.Instances[i]
	}
	return ""
}

// ownersChanged asks the new owners of pools about the attempts that run there.
// An end that the old owner knew and had not told would be lost otherwise.
func (d *dispatches) ownersChanged(old, v model.View) {
	now := d.l.now()
	live := d.l.table.Live(func(id model.PoolID) bool { return old.PoolOwner(id) != v.PoolOwner(id) })
	for pool, attempts := range live {
		for _, a := range attempts {
			if _, known := d.lost[a.Attempt]; known {
				continue
			}
			d.lost[a.Attempt] = lostDispatch{
				pool: pool, endpoint: a.Endpoint, instance: a.Instance, started: true, voidFrom: now.Add(ownerGrace),
			}
		}
	}
}

// notStarted returns the ends of attempts that certainly did not start.
func notStarted(attempts []model.AttemptID) []model.Settled {
	out := make([]model.Settled, len(attempts))
	for i, a := range attempts {
		out[i] = model.Settled{Attempt: a, End: model.AttemptNotStarted}
	}
	return out
}

// resolve asks pool owners about attempts whose dispatch reply was lost.
func (d *dispatches) resolve(now time.Time) {
	if len(d.lost) == 0 || now.Before(d.nextAsk) {
		return
	}
	d.nextAsk = now.Add(resolveInterval)
	byPool := make(map[model.PoolID]map[model.ShardID]bool)
	for a, lost := range d.lost {
		shard, ok := a.Shard()
		if !ok || now.Before(lost.voidFrom) || d.asking[lost.pool] {
			continue
		}
		if byPool[lost.pool] == nil {
			byPool[lost.pool] = make(map[model.ShardID]bool)
		}
		byPool[lost.pool][shard] = true
	}
	for pool, shards := range byPool {
		d.ask(pool, shards)
	}
}

func (d *dispatches) ask(pool model.PoolID, shards map[model.ShardID]bool) {
	d.asking[pool] = true
	n, view := d.l.n, d.l.view
	go func() {
		reply, err := n.askAttempts(view, pool, shards)
		n.post(attemptsResolved{pool: pool, reply: reply, err: err})
	}()
}

// attemptsResolved is a pool owner's answer about lost dispatches.
type attemptsResolved struct {
	pool  model.PoolID
	reply AttemptsReply
	err   error
}

func (e attemptsResolved) apply(l *loop) {
	d := l.dispatches
	delete(d.asking, e.pool)
	if e.err != nil {
		return
	}
	known := make(map[model.AttemptID]model.AttemptState, len(e.reply.Attempts))
	for _, a := range e.reply.Attempts {
		known[a.Attempt] = a
	}
	for a, lost := range d.lost {
		if lost.pool != e.pool || l.now().Before(lost.voidFrom) {
			continue
		}
		state, listed := known[a]
		switch {
		case listed && state.Settled != nil:
			delete(d.lost, a)
			l.settleOrForward([]model.Settled{*state.Settled})
		case listed:
			// It runs; its end comes by Shard.Ended.
			delete(d.lost, a)
		case e.reply.Complete:
			delete(d.lost, a)
			l.settleOrForward([]model.Settled{lost.missing(a, e.reply)})
		}
	}
}

// missing is the end of an attempt that a complete answer does not list. An
// endpoint that has reported under the owner's token takes no start of before,
// so the attempt never started there, unless the endpoint has restarted since
// the grant and forgotten it. Of any other endpoint it is not known.
func (d lostDispatch) missing(a model.AttemptID, reply AttemptsReply) model.Settled {
	if instance, ok := reply.Reported[d.endpoint]; ok && instance == d.instance && !d.started {
		return model.Settled{Attempt: a, End: model.AttemptNotStarted, Endpoint: d.endpoint}
	}
	return model.Settled{Attempt: a, End: model.AttemptUnknown, Endpoint: d.endpoint}
}
