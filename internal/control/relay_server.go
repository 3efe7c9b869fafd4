package control

import (
	"context"
	"errors"

	"github.com/agateyard/agateyard/internal/scheduler"
)

// Relay calls a runner for the owner. The request is complete: its fence and the end of its lease are the owner's, so a
// start that is made late is refused by the runner and a poll that is made late extends no lease. Right after a pause
// nothing is relayed, as a late acknowledgement could reach the next incarnation of the runner, whose ends have the
// same numbers.
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
	result, err := sendToRunner(ctx, p.n.dep.Runners, args)
	if err != nil {
		result.Error, result.Fenced, result.Local = err.Error(), errors.Is(err, ErrFenced), LocalFailure(err)
		result.TimedOut, result.Closed = TimedOut(err), closedByRunner(err)
		result.Replaced, result.OtherIncarnation = errors.Is(err, ErrReplaced), errors.Is(err, ErrOtherIncarnation)
	}
	*reply = result
	return nil
}

// sendToRunner calls a runner from this process.
func sendToRunner(ctx context.Context, runners Runners, args RelayArgs) (reply RelayReply, err error) {
	switch {
	case args.Start != nil:
		reply.Outcome, err = runners.Start(ctx, args.Runner, *args.Start)
	case args.Stop != nil:
		err = runners.Stop(ctx, args.Runner, *args.Stop)
	case args.Poll != nil:
		if args.Poll.Acknowledged > 0 {
			ctx = WithSendDeadline(ctx, args.preparedAt+minPause)
		}
		reply.Report, err = runners.Poll(ctx, args.Runner, *args.Poll)
	}
	return reply, err
}
