package entry

import (
	"context"
	"errors"
	"sync"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/pool"
	"github.com/agateyard/agateyard/internal/timeline"
)

// Refusals of a dispatch. Nothing has started after one of them.
var (
	errNotShardOwner = errors.New("sender does not own the shard in this view")
	errNotPoolOwner  = errors.New("pool has another owner")
)

// dispatchLocal starts the attempts of a grant of an own pool and waits for
// the answers of runners. An error means that nothing has started.
func (n *Node) dispatchLocal(ctx context.Context, args DispatchArgs) (DispatchReply, error) {
	begun, err := ask(ctx, n, func(result chan<- begunDispatch) event {
		return beginDispatch{args: args, result: result}
	})
	if err != nil {
		return DispatchReply{}, errors.Join(errNotSent, err)
	}
	if errors.Is(begun.err, pool.ErrDuplicateAttempt) {
		return DispatchReply{Header: n.header(), Lost: args.Attempts}, nil
	}
	if begun.err != nil {
		return DispatchReply{}, errors.Join(errNotSent, begun.err)
	}
	reply := DispatchReply{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, o := range begun.orders {
		wg.Go(func() {
			end := n.startAttempt(begun.pool, o, args)
			mu.Lock()
			defer mu.Unlock()
			reply.add(o.Attempt, end)
		})
	}
	wg.Wait()
	reply.Header = n.header()
	return reply, nil
}

// add sorts the end of a start call into the reply.
func (r *DispatchReply) add(a model.AttemptID, end startEnd) {
	switch {
	case end.settled != nil:
		r.Settled = append(r.Settled, *end.settled)
	case end.kind == pool.StartAccepted:
		r.Started = append(r.Started, a)
	default:
		r.Lost = append(r.Lost, a)
	}
}

// startEnd is how far a start call came.
type startEnd struct {
	kind    pool.StartKind
	settled *model.Settled
}

// startAttempt sends one start command. The call has its own time limit and
// goes on when the shard owner is gone, so that the end is known here.
func (n *Node) startAttempt(p *ownedPool, o clientOrder, args DispatchArgs) startEnd {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	ctx, cancel := context.WithTimeout(n.ctx, o.RunLimit+dispatchSlack)
	defer cancel()
	n.recorder.Record(timeline.Event{Part: "pool", Name: "start-sent", Request: args.Request, Attempt: string(o.Attempt), Detail: o.Endpoint})
	reply, err := o.client.Start(ctx, endpoint.StartRequest{
		Attempt:       o.Attempt,
		Instance:      o.Instance,
		Token:         o.Token,
		StartBeforeMS: o.StartBeforeMS,
		Template:      o.Template.String(),
		Resources:     o.Resources,
		RunLimit:      o.RunLimit,
		ContentType:   args.ContentType,
		Body:          args.Body,
	})
	result := pool.ResultOf(reply, err)
	n.recordStart(o, args, result)
	end, askErr := ask(n.ctx, n, func(r chan<- startEnd) event {
		return startFinished{pool: p, endpoint: o.Endpoint, attempt: o.Attempt, start: result, result: r}
	})
	if askErr != nil {
		return startEnd{kind: pool.StartLost}
	}
	return end
}

func (n *Node) recordStart(o clientOrder, args DispatchArgs, r pool.StartResult) {
	names := map[pool.StartKind]string{
		pool.StartLost: "start-lost", pool.StartAnswered: "answered", pool.StartAccepted: "started", pool.StartRefused: "start-refused",
	}
	ev := timeline.Event{Part: "pool", Name: names[r.Kind], Request: args.Request, Attempt: string(o.Attempt), Detail: o.Endpoint}
	if r.Err != nil {
		ev.Detail += ": " + r.Err.Error()
	}
	n.recorder.Record(ev)
}

// clientOrder is a start order with the client of its endpoint.
type clientOrder struct {
	pool.StartCommand
	client endpoint.Client
}

// beginDispatch uses a grant of an own pool.
type beginDispatch struct {
	args   DispatchArgs
	result chan<- begunDispatch
}

// begunDispatch is the result of beginDispatch.
type begunDispatch struct {
	pool   *ownedPool
	orders []clientOrder
	err    error
}

func (e beginDispatch) apply(l *loop) {
	// A process that was replaced as shard owner may not know it yet. The
	// successor has made this process install its view before it recovers.
	if l.view.ShardOwner(e.args.Shard) != e.args.From {
		e.result <- begunDispatch{err: errNotShardOwner}
		return
	}
	p, ok := l.pools[e.args.Grant.Pool]
	if !ok {
		e.result <- begunDispatch{err: errNotPoolOwner}
		return
	}
	orders, err := p.pool.StartAttempts(l.now(), e.args.Grant.ID, e.args.Attempts)
	begun := begunDispatch{pool: p, err: err}
	for _, o := range orders {
		client, ok := p.client(o.Endpoint)
		if !ok {
			// The endpoint has been removed meanwhile: settle its start as not sent.
			client = unreachableClient{}
		}
		begun.orders = append(begun.orders, clientOrder{StartCommand: o, client: client})
	}
	e.result <- begun
}

// startFinished is the result of a start call.
type startFinished struct {
	pool     *ownedPool
	endpoint string
	attempt  model.AttemptID
	start    pool.StartResult
	result   chan<- startEnd
}

func (e startFinished) apply(l *loop) {
	effects := e.pool.pool.HandleStartResult(l.now(), e.attempt, e.start)
	end := startEnd{kind: e.start.Kind}
	var others []pool.SettledNotice
	for _, s := range effects.Settled {
		if s.Settled.Attempt != e.attempt {
			others = append(others, s)
			continue
		}
		settled := s.Settled
		end.settled = &settled
	}
	effects.Settled = others
	if end.settled != nil {
		// The reply of the dispatch carries the end.
		l.outbox.confirmLater(e.pool, *end.settled)
	}
	if e.start.Kind == pool.StartAccepted {
		e.pool.kick(e.endpoint)
	}
	l.applyPool(e.pool, effects)
	e.result <- end
}
