package entry

import (
	"context"
)

// PoolService serves the calls to a pool owner.
type PoolService struct{ n *Node }

// Demand takes the demand of a shard owner.
func (s *PoolService) Demand(args DemandArgs, reply *Empty) error {
	return s.n.accept(args.Header, demandStated{args: args}, reply)
}

// demandStated hands demand to the own pools.
type demandStated struct {
	args DemandArgs
}

func (e demandStated) apply(l *loop) {
	if _, member := l.view.Find(e.args.From); !member {
		return
	}
	l.acceptDemand(e.args.From, e.args.Seq, e.args.Pools)
}

// Return takes unused grants back.
func (s *PoolService) Return(args ReturnArgs, reply *Empty) error {
	return s.n.accept(args.Header, grantsReturned{grants: args.Grants}, reply)
}

// grantsReturned hands unused grants to the own pools.
type grantsReturned struct {
	grants []GrantRef
}

func (e grantsReturned) apply(l *loop) { l.takeBack(e.grants) }

// Dispatch starts the attempts of a grant. An error means that nothing has started.
func (s *PoolService) Dispatch(args DispatchArgs, reply *DispatchReply) error {
	s.n.observe(args.Header)
	r, err := s.n.dispatchLocal(s.n.ctx, args)
	*reply = r
	return err
}

// Delivered takes the confirmation of ends.
func (s *PoolService) Delivered(args DeliveredArgs, reply *Empty) error {
	return s.n.accept(args.Header, deliveredEvent{args: args}, reply)
}

// Stop cancels attempts.
func (s *PoolService) Stop(args StopAttemptsArgs, reply *Empty) error {
	return s.n.accept(args.Header, stopWanted{args: args}, reply)
}

// stopWanted cancels attempts of an own pool.
type stopWanted struct {
	args StopAttemptsArgs
}

func (e stopWanted) apply(l *loop) { l.stopAttempts(e.args.Pool, e.args.Attempts) }

// Attempts returns what the owner knows of the attempts of shards.
func (s *PoolService) Attempts(args AttemptsArgs, reply *AttemptsReply) error {
	s.n.observe(args.Header)
	ctx, cancel := context.WithTimeout(s.n.ctx, rpcTimeout)
	defer cancel()
	r, err := s.n.attemptsLocal(ctx, args)
	*reply = r
	reply.Header = s.n.header()
	return err
}

// Hold reserves part of the room for a gang that spans pools.
func (s *PoolService) Hold(args HoldArgs, reply *HoldReply) error {
	s.n.observe(args.Header)
	ctx, cancel := context.WithTimeout(s.n.ctx, rpcTimeout)
	defer cancel()
	r, err := s.n.holdLocal(ctx, args)
	*reply = r
	reply.Header = s.n.header()
	return err
}

// holdLocal reserves room in an own pool.
func (n *Node) holdLocal(ctx context.Context, args HoldArgs) (HoldReply, error) {
	return ask(ctx, n, func(r chan<- HoldReply) event { return holdWanted{args: args, result: r} })
}

// holdWanted reserves room in an own pool.
type holdWanted struct {
	args   HoldArgs
	result chan<- HoldReply
}

func (e holdWanted) apply(l *loop) {
	p, ok := l.pools[e.args.Pool]
	if !ok {
		e.result <- HoldReply{}
		return
	}
	grant, held := p.pool.Hold(l.now(), e.args.From, e.args.Template, e.args.Resources, e.args.Tasks)
	e.result <- HoldReply{Held: held, Grant: grant}
}
