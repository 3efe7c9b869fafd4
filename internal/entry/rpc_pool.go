package entry

import (
	"context"
)

// PoolService serves the RPCs to a pool owner.
type PoolService struct{ n *Node }

// Demand records the demand of a shard owner.
func (s *PoolService) Demand(args DemandArgs, reply *Empty) (failure error) {
	defer s.n.recoverCall("Pool.Demand", &failure)
	return s.n.acceptNotification(args.Header, demandReceived{args: args}, reply)
}

// demandReceived passes demand to the local pools.
type demandReceived struct {
	args DemandArgs
}

func (e demandReceived) apply(l *loop) {
	if _, member := l.view.Find(e.args.From); !member {
		return
	}
	l.acceptDemand(e.args.From, e.args.Seq, e.args.Pools)
}

// Return releases unused grants.
func (s *PoolService) Return(args ReturnArgs, reply *Empty) (failure error) {
	defer s.n.recoverCall("Pool.Return", &failure)
	return s.n.acceptNotification(args.Header, returnReceived{grants: args.Grants}, reply)
}

// returnReceived passes unused grants to the local pools.
type returnReceived struct {
	grants []GrantRef
}

func (e returnReceived) apply(l *loop) { l.releaseGrants(e.grants) }

// Dispatch starts the attempts of a grant. An error means that nothing has started.
func (s *PoolService) Dispatch(args DispatchArgs, reply *DispatchReply) (failure error) {
	defer s.n.recoverCall("Pool.Dispatch", &failure)
	s.n.observe(args.Header)
	r, err := s.n.dispatchLocal(s.n.ctx, args)
	*reply = r
	return err
}

// Delivered confirms attempt completions.
func (s *PoolService) Delivered(args DeliveredArgs, reply *Empty) (failure error) {
	defer s.n.recoverCall("Pool.Delivered", &failure)
	return s.n.acceptNotification(args.Header, deliveryConfirmed{args: args}, reply)
}

// Stop cancels attempts.
func (s *PoolService) Stop(args StopAttemptsArgs, reply *Empty) (failure error) {
	defer s.n.recoverCall("Pool.Stop", &failure)
	return s.n.acceptNotification(args.Header, stopReceived{args: args}, reply)
}

// stopReceived cancels attempts of a local pool.
type stopReceived struct {
	args StopAttemptsArgs
}

func (e stopReceived) apply(l *loop) { l.stopAttempts(e.args.Pool, e.args.Attempts) }

// Attempts returns the attempts of shards that the pool owner knows.
func (s *PoolService) Attempts(args AttemptsArgs, reply *AttemptsReply) (failure error) {
	defer s.n.recoverCall("Pool.Attempts", &failure)
	s.n.observe(args.Header)
	ctx, cancel := context.WithTimeout(s.n.ctx, rpcTimeout)
	defer cancel()
	r, err := s.n.attemptsLocal(ctx, args)
	*reply = r
	reply.Header = s.n.header()
	return err
}

// Hold reserves capacity for one part of a gang that spans pools.
func (s *PoolService) Hold(args HoldArgs, reply *HoldReply) (failure error) {
	defer s.n.recoverCall("Pool.Hold", &failure)
	s.n.observe(args.Header)
	ctx, cancel := context.WithTimeout(s.n.ctx, rpcTimeout)
	defer cancel()
	r, err := s.n.reserveLocal(ctx, args)
	*reply = r
	reply.Header = s.n.header()
	return err
}

// reserveLocal reserves capacity in a local pool.
func (n *Node) reserveLocal(ctx context.Context, args HoldArgs) (HoldReply, error) {
	return postAndWait(ctx, n, func(r chan<- HoldReply) event { return reserveRequest{args: args, result: r} })
}

// reserveRequest reserves capacity in a local pool.
type reserveRequest struct {
	args   HoldArgs
	result chan<- HoldReply
}

func (e reserveRequest) apply(l *loop) {
	p, ok := l.pools[e.args.Pool]
	if !ok || !l.n.config.Ready() { // the drains are not known yet
		e.result <- HoldReply{}
		return
	}
	grant, reserved := p.pool.Hold(l.now(), e.args.From, e.args.Template, e.args.Resources, e.args.Tasks)
	e.result <- HoldReply{Held: reserved, Grant: grant}
}
