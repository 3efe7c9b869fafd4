package control

import (
	"context"
	"errors"

	"github.com/agateyard/agateyard/internal/scheduler"
)

// Relay calls a runner for the owner. The request is complete: its fence and the end of its lease are the owner's, so a
// start that is made late is refused by the runner, a poll that is made late extends no lease, and an acknowledgement
// has a limit on this process's clock. Right after a pause nothing is relayed, as the acknowledgements of owners of earlier
// builds have no limit: a late one could reach the next incarnation of the runner, whose ends have the same numbers.
func (p *Peer) Relay(args RelayArgs, reply *RelayReply) (err error) {
	defer p.n.recoverCall("Relay", &err)
	if p.n.pauses.check(p.n.clock.Now()) {
		*reply = RelayReply{Local: true, Error: errPaused.Error(), Outcome: scheduler.StartNotSent}
		return nil
	}
	if o, _ := p.n.view.currentOwner(); o.Rev > args.Fence {
		*reply = RelayReply{Fenced: true, Error: ErrFenced.Error(), Outcome: scheduler.StartRefused}
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Within, maxPeerCall))
	defer cancel()
	args.preparedAt = p.n.clock.Now()
	result, err := p.n.sendToRunner(ctx, args)
	if err != nil {
		result.Error, result.Fenced, result.Local = err.Error(), errors.Is(err, ErrFenced), LocalFailure(err)
		result.TimedOut = timedOut(err)
	}
	*reply = result
	return nil
}

// sendToRunner calls a runner from this process.
func (n *Node) sendToRunner(ctx context.Context, args RelayArgs) (reply RelayReply, err error) {
	switch {
	case args.Start != nil:
		reply.Outcome, err = n.dep.Runners.Start(ctx, args.Runner, *args.Start)
	case args.Stop != nil:
		err = n.dep.Runners.Stop(ctx, args.Runner, *args.Stop)
	case args.Poll != nil:
		return n.pollRunner(ctx, args)
	}
	return reply, err
}
