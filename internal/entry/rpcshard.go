package entry

import (
	"context"
	"errors"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// rpcTimeout bounds the handling of a control call from another process.
const rpcTimeout = 2 * time.Second

// errStaleView means that the sender acts on a view older than the receiver's.
var errStaleView = errors.New("view of the sender is stale")

// ShardService serves the calls to a shard owner.
type ShardService struct{ n *Node }

// Submit takes a submission and answers when its reply is known.
func (s *ShardService) Submit(args SubmitArgs, reply *SubmitReply) error {
	s.n.observe(args.Header)
	r, err := s.n.submitLocal(s.n.ctx, args.Submission)
	if err != nil {
		return err
	}
	reply.Header, reply.Reply = s.n.header(), r
	return nil
}

// Cancel cancels requests.
func (s *ShardService) Cancel(args CancelArgs, reply *CancelReply) error {
	s.n.observe(args.Header)
	ctx, cancel := context.WithTimeout(s.n.ctx, rpcTimeout)
	defer cancel()
	r, err := s.n.cancelAt(ctx, s.n.self.Incarnation, args.Keys)
	reply.Header, reply.Results = s.n.header(), r
	return err
}

// Status returns the state of a request.
func (s *ShardService) Status(args StatusArgs, reply *StatusReply) error {
	s.n.observe(args.Header)
	ctx, cancel := context.WithTimeout(s.n.ctx, rpcTimeout)
	defer cancel()
	r, err := ask(ctx, s.n, func(r chan<- StatusReply) event { return statusWanted{key: args.Key, result: r} })
	*reply = r
	reply.Header = s.n.header()
	return err
}

// Grants takes grants of pool owners.
func (s *ShardService) Grants(args GrantsArgs, reply *Empty) error {
	return s.n.accept(args.Header, grantsArrived{grants: args.Grants}, reply)
}

// grantsArrived hands grants of another process to the shard table.
type grantsArrived struct {
	grants []model.Grant
}

func (e grantsArrived) apply(l *loop) { l.bindGrants(e.grants) }

// Ended takes the ends of attempts.
func (s *ShardService) Ended(args EndedArgs, reply *EndedReply) error {
	s.n.observe(args.Header)
	ctx, cancel := context.WithTimeout(s.n.ctx, outboxTimeout)
	defer cancel()
	taken, err := ask(ctx, s.n, func(r chan<- bool) event { return endsArrived{settled: args.Settled, result: r} })
	reply.Header, reply.Taken = s.n.header(), taken
	return err
}

// endsArrived hands ends of attempts to the shard table.
type endsArrived struct {
	settled []model.Settled
	result  chan<- bool
}

// apply takes the ends; the result follows when their records are written.
func (e endsArrived) apply(l *loop) {
	if !l.takeover.settlesAll(e.settled) {
		e.result <- false
		return
	}
	l.acks.expect(e.settled, e.result)
	for _, s := range e.settled {
		l.settleShard(l.now(), s)
	}
}

// Claim hands over the state of shards that a view gives to the sender.
func (s *ShardService) Claim(args ClaimArgs, reply *ClaimReply) error {
	s.n.observe(args.Header)
	ctx, cancel := context.WithTimeout(s.n.ctx, rpcTimeout)
	defer cancel()
	r, err := ask(ctx, s.n, func(r chan<- claimResult) event { return claimed{args: args, result: r} })
	if err != nil {
		return err
	}
	if r.err != nil {
		return r.err
	}
	reply.Exports, err = encodeExports(r.exports)
	reply.Header = s.n.header()
	return err
}

// claimed is the claim of another process.
type claimed struct {
	args   ClaimArgs
	result chan<- claimResult
}

// claimResult is the state that this process holds of the claimed shards.
type claimResult struct {
	exports []shardExport
	err     error
}

func (e claimed) apply(l *loop) {
	l.installView(e.args.Latest)
	if l.view.Number > e.args.Latest.Number {
		e.result <- claimResult{err: errStaleView}
		return
	}
	e.result <- claimResult{exports: l.takeover.export(e.args.Shards)}
}

// Released drops shards whose state the sender has recorded.
func (s *ShardService) Released(args ReleasedArgs, reply *Empty) error {
	return s.n.accept(args.Header, released{shards: args.Shards}, reply)
}

// released drops handed-over shards.
type released struct {
	shards []model.ShardID
}

func (e released) apply(l *loop) { l.takeover.release(e.shards) }
