package control

import (
	"context"
	"errors"
)

// adviceBacklog is how many calls may wait for the advice service on one machine; the service itself refuses more.
const adviceBacklog = 30

var errAdviceBusy = errors.New("too many advice calls wait here")

// adviceCall is a call that waits for its turn: the service answers one at a time for each calling machine.
type adviceCall struct {
	ctx  context.Context
	args AdviseArgs
	done chan adviceAnswer
}

type adviceAnswer struct {
	reply AdviseReply
	err   error
}

// adviceCallers is how many calls of this machine are under way at once: the service works on one, and the next ones
// have arrived when it is done.
const adviceCallers = 4

// callAdvice makes the advice calls of this machine in turn.
func (n *Node) callAdvice(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-n.advice:
			if call.ctx.Err() != nil {
				continue // nobody waits for it any more
			}
			good, valid, err := n.dep.Advisor.Advise(call.ctx, call.args.Step, call.args.Runners)
			call.done <- adviceAnswer{AdviseReply{Good: good, Valid: valid}, err}
		}
	}
}

// advise queues a call and waits for its answer.
func (n *Node) advise(ctx context.Context, args AdviseArgs) (AdviseReply, error) {
	call := adviceCall{ctx: ctx, args: args, done: make(chan adviceAnswer, 1)}
	select {
	case n.advice <- call:
	default:
		return AdviseReply{}, errAdviceBusy
	}
	select {
	case answer := <-call.done:
		return answer.reply, answer.err
	case <-ctx.Done():
		return AdviseReply{}, ctx.Err()
	}
}
