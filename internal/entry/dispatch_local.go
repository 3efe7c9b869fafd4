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

// Reasons to refuse a dispatch. No attempt was started.
var (
	errNotShardOwner = errors.New("sender does not own the shard in this view")
	errNotPoolOwner  = errors.New("pool has another owner")
)

// dispatchLocal starts the attempts of a grant of a local pool and waits for
// the start calls to return. An error means that nothing has started.
func (n *Node) dispatchLocal(ctx context.Context, args DispatchArgs) (DispatchReply, error) {
	beginResult, err := postAndWait(ctx, n, func(result chan<- beginDispatchResult) event {
		return beginDispatch{args: args, result: result}
	})
	if err != nil {
		return DispatchReply{}, errors.Join(errNotSent, err)
	}
	if errors.Is(beginResult.err, pool.ErrDuplicateAttempt) {
		return DispatchReply{Header: n.header(), Lost: args.Attempts}, nil
	}
	if beginResult.err != nil {
		return DispatchReply{}, errors.Join(errNotSent, beginResult.err)
	}
	reply := DispatchReply{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, c := range beginResult.commands {
		wg.Add(1)
		n.start("start", func() {
			defer wg.Done()
			outcome := startOutcome{kind: pool.StartLost} // also after a panic
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				reply.add(c.Attempt, outcome)
			}()
			outcome = n.startAttempt(beginResult.pool, c, args)
		})
	}
	wg.Wait()
	reply.Header = n.header()
	return reply, nil
}

// add adds the outcome of a start call to the reply.
func (r *DispatchReply) add(a model.AttemptID, outcome startOutcome) {
	switch {
	case outcome.settled != nil:
		r.Settled = append(r.Settled, *outcome.settled)
	case outcome.kind == pool.StartAccepted:
		r.Started = append(r.Started, a)
	default:
		r.Lost = append(r.Lost, a)
	}
}

// startOutcome is the outcome of a start call. settled is nil while the
// completion of the attempt is not known.
type startOutcome struct {
	kind    pool.StartKind
	settled *model.Settled
}

// startAttempt sends one start command. The call has its own timeout and continues
// if the shard owner fails, so that the pool learns the completion.
func (n *Node) startAttempt(p *ownedPool, c startCommand, args DispatchArgs) startOutcome {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	ctx, cancel := context.WithTimeout(n.ctx, c.RunLimit+dispatchSlack)
	defer cancel()
	n.recorder.Record(timeline.Event{Part: "pool", Name: "start-sent", Request: args.Request, Attempt: string(c.Attempt), Detail: c.Endpoint})
	reply, err := c.client.Start(ctx, endpoint.StartRequest{
		Attempt:       c.Attempt,
		Instance:      c.Instance,
		Token:         c.Token,
		StartBeforeMS: c.StartBeforeMS,
		Template:      c.Template.String(),
		Resources:     c.Resources,
		RunLimit:      c.RunLimit,
		ContentType:   args.ContentType,
		Body:          args.Body,
	})
	result := pool.ResultOf(reply, err)
	n.recordStart(c, args, result)
	outcome, waitErr := postAndWait(n.ctx, n, func(r chan<- startOutcome) event {
		return startCallReturned{pool: p, endpoint: c.Endpoint, attempt: c.Attempt, start: result, result: r}
	})
	if waitErr != nil {
		return startOutcome{kind: pool.StartLost}
	}
	return outcome
}

func (n *Node) recordStart(c startCommand, args DispatchArgs, r pool.StartResult) {
	eventNames := map[pool.StartKind]string{
		pool.StartLost: "start-lost", pool.StartAnswered: "answered", pool.StartAccepted: "started", pool.StartRefused: "start-refused",
	}
	ev := timeline.Event{Part: "pool", Name: eventNames[r.Kind], Request: args.Request, Attempt: string(c.Attempt), Detail: c.Endpoint}
	if r.Err != nil {
		ev.Detail += ": " + r.Err.Error()
	}
	n.recorder.Record(ev)
}

// startCommand is a start command and the client of its endpoint.
type startCommand struct {
	pool.StartCommand
	client endpoint.Client
}

// beginDispatch requests the start commands for the attempts of a grant of a local
// pool.
type beginDispatch struct {
	args   DispatchArgs
	result chan<- beginDispatchResult
}

// beginDispatchResult is the result of beginDispatch.
type beginDispatchResult struct {
	pool     *ownedPool
	commands []startCommand
	err      error
}

func (e beginDispatch) apply(l *loop) {
	// A former shard owner may not know yet that it was replaced. The new owner
	// has made this process install its view before it recovers the shard.
	if l.view.ShardOwner(e.args.Shard) != e.args.From {
		e.result <- beginDispatchResult{err: errNotShardOwner}
		return
	}
	p, ok := l.pools[e.args.Grant.Pool]
	if !ok {
		e.result <- beginDispatchResult{err: errNotPoolOwner}
		return
	}
	commands, err := p.pool.StartAttempts(l.now(), e.args.Grant.ID, e.args.Attempts)
	beginResult := beginDispatchResult{pool: p, err: err}
	for _, c := range commands {
		client, ok := p.client(c.Endpoint)
		if !ok {
			// The endpoint has been removed since: its start counts as not sent.
			client = unreachableClient{}
		}
		beginResult.commands = append(beginResult.commands, startCommand{StartCommand: c, client: client})
	}
	e.result <- beginResult
}

// startCallReturned reports that a start call has returned.
type startCallReturned struct {
	pool     *ownedPool
	endpoint string
	attempt  model.AttemptID
	start    pool.StartResult
	result   chan<- startOutcome
}

func (e startCallReturned) apply(l *loop) {
	effects := e.pool.pool.HandleStartResult(l.now(), e.attempt, e.start)
	outcome := startOutcome{kind: e.start.Kind}
	var others []pool.SettledNotice
	for _, s := range effects.Settled {
		if s.Settled.Attempt != e.attempt {
			others = append(others, s)
			continue
		}
		settled := s.Settled
		outcome.settled = &settled
	}
	effects.Settled = others
	if outcome.settled != nil {
		// The dispatch reply carries this completion.
		l.outbox.awaitConfirmation(e.pool, *outcome.settled)
	}
	if e.start.Kind == pool.StartAccepted {
		e.pool.pollNow(e.endpoint)
	}
	l.applyPool(e.pool, effects)
	e.result <- outcome
}
