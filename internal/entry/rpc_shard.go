package entry

import (
	"context"
	"errors"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// rpcTimeout limits the handling of a control call from another process.
const rpcTimeout = 2 * time.Second

// errStaleView means that the view of the sender is older than the receiver's.
var errStaleView = errors.New("view of the sender is stale")

// ShardService serves the RPCs to a shard owner.
type ShardService struct{ n *Node }

// Submit handles a submission and returns when its reply is known.
func (s *ShardService) Submit(args SubmitArgs, reply *SubmitReply) (failure error) {
	defer s.n.recoverCall("Shard.Submit", &failure)
	s.n.observe(args.Header)
	r, err := s.n.submitLocal(s.n.ctx, args.Submission)
	if err != nil {
		return err
	}
	reply.Header, reply.Reply = s.n.header(), r
	return nil
}

// Cancel cancels requests.
func (s *ShardService) Cancel(args CancelArgs, reply *CancelReply) (failure error) {
	defer s.n.recoverCall("Shard.Cancel", &failure)
	s.n.observe(args.Header)
	ctx, cancel := context.WithTimeout(s.n.ctx, rpcTimeout)
	defer cancel()
	r, err := s.n.cancelAt(ctx, s.n.self.Incarnation, args.Keys)
	reply.Header, reply.Results = s.n.header(), r
	return err
}

// Status returns the state of a request.
func (s *ShardService) Status(args StatusArgs, reply *StatusReply) (failure error) {
	defer s.n.recoverCall("Shard.Status", &failure)
	s.n.observe(args.Header)
	ctx, cancel := context.WithTimeout(s.n.ctx, rpcTimeout)
	defer cancel()
	r, err := s.n.statusLocal(ctx, args.Key)
	*reply = r
	reply.Header = s.n.header()
	return err
}

// Grants accepts grants from a pool owner.
func (s *ShardService) Grants(args GrantsArgs, reply *Empty) (failure error) {
	defer s.n.recoverCall("Shard.Grants", &failure)
	return s.n.acceptNotification(args.Header, grantsReceived{grants: args.Grants}, reply)
}

// grantsReceived passes grants from another process to the shard table.
type grantsReceived struct {
	grants []model.Grant
}

func (e grantsReceived) apply(l *loop) { l.bindGrants(e.grants) }

// Ended accepts attempt completions.
func (s *ShardService) Ended(args EndedArgs, reply *EndedReply) (failure error) {
	defer s.n.recoverCall("Shard.Ended", &failure)
	s.n.observe(args.Header)
	ctx, cancel := context.WithTimeout(s.n.ctx, outboxTimeout)
	defer cancel()
	taken, err := postAndWait(ctx, s.n, func(r chan<- bool) event { return completionsReceived{settled: args.Settled, result: r} })
	reply.Header, reply.Taken = s.n.header(), taken
	return err
}

// completionsReceived passes attempt completions to the shard table.
type completionsReceived struct {
	settled []model.Settled
	result  chan<- bool
}

// apply settles the attempts. The result is sent when their records are written.
func (e completionsReceived) apply(l *loop) {
	if !l.takeover.acceptsCompletions(e.settled) {
		e.result <- false
		return
	}
	l.acks.addWaiter(e.settled, e.result)
	for _, s := range e.settled {
		l.settleLocal(l.now(), s)
	}
}

// Claim hands over the state of shards that a view assigns to the sender.
func (s *ShardService) Claim(args ClaimArgs, reply *ClaimReply) (failure error) {
	defer s.n.recoverCall("Shard.Claim", &failure)
	s.n.observe(args.Header)
	ctx, cancel := context.WithTimeout(s.n.ctx, rpcTimeout)
	defer cancel()
	r, err := postAndWait(ctx, s.n, func(r chan<- claimResult) event { return claimReceived{args: args, result: r} })
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

// claimReceived passes the claim of another process to the loop.
type claimReceived struct {
	args   ClaimArgs
	result chan<- claimResult
}

// claimResult is the state that this process holds of the claimed shards.
type claimResult struct {
	exports []shardExport
	err     error
}

func (e claimReceived) apply(l *loop) {
	l.installView(e.args.Latest)
	if l.view.Number > e.args.Latest.Number {
		e.result <- claimResult{err: errStaleView}
		return
	}
	e.result <- claimResult{exports: l.takeover.export(e.args.Shards)}
}

// Released drops shards whose state the sender has recorded in its journal.
func (s *ShardService) Released(args ReleasedArgs, reply *Empty) (failure error) {
	defer s.n.recoverCall("Shard.Released", &failure)
	return s.n.acceptNotification(args.Header, releaseReceived{shards: args.Shards, epoch: args.Epoch}, reply)
}

// releaseReceived drops shards that were handed over.
type releaseReceived struct {
	shards []model.ShardID
	epoch  uint64
}

func (e releaseReceived) apply(l *loop) { l.takeover.release(e.shards, e.epoch) }
