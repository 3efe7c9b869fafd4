package control

import (
	"context"
	"errors"
)

// adviceQueueSize bounds the queued advice calls of one machine. The advice service itself refuses more.
const adviceQueueSize = 30

var errAdviceQueueFull = errors.New("the queue of advice calls is full")

// adviceCall is a queued call to the advice service, which handles one call at a time for each calling machine.
type adviceCall struct {
	ctx  context.Context
	args AdviseArgs
	done chan adviceResult
}

type adviceResult struct {
	reply AdviseReply
	err   error
}

// adviceConcurrency is how many advice calls of this machine are in flight at once. The service works on one; the others
// have already arrived when it finishes, which saves the network latency between two calls.
const adviceConcurrency = 4

// serveAdviceCalls sends queued advice calls one after the other until ctx is done.
func (n *Node) serveAdviceCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-n.adviceCalls:
			if call.ctx.Err() != nil {
				continue // the caller has given up
			}
			eligible, valid, err := n.dep.Advisor.Advise(call.ctx, call.args.Step, call.args.Runners)
			call.done <- adviceResult{AdviseReply{Good: eligible, Valid: valid}, err}
		}
	}
}

// advise queues an advice call and waits for its result.
func (n *Node) advise(ctx context.Context, args AdviseArgs) (AdviseReply, error) {
	call := adviceCall{ctx: ctx, args: args, done: make(chan adviceResult, 1)}
	select {
	case n.adviceCalls <- call:
	default:
		return AdviseReply{}, errAdviceQueueFull
	}
	select {
	case result := <-call.done:
		return result.reply, result.err
	case <-ctx.Done():
		return AdviseReply{}, ctx.Err()
	}
}
