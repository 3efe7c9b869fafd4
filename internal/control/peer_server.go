package control

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"github.com/samber/oops"

	"github.com/agateyard/agateyard/internal/ctxtime"
)

// Peer serves the calls of other processes.
type Peer struct{ n *Node }

func (n *Node) servePeers(ctx context.Context, l net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", &Peer{n}); err != nil {
		return oops.Wrapf(err, "register peer calls")
	}
	go func() {
		<-ctx.Done()
		_ = l.Close() // makes Accept return
	}()
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			ctxtime.Sleep(ctx, pingInterval) // for example out of file descriptors: retry when some are free
			continue
		}
		go server.ServeConn(conn)
	}
}

// Ping returns what this process knows of the cell.
func (p *Peer) Ping(args PingArgs, reply *PingReply) error {
	n := p.n
	if args.Owner.Incarnation != "" {
		n.learnOwner(args.Owner, "peer")
	}
	if args.FreshConfig {
		n.refreshForPeer()
	}
	o, _ := n.view.currentOwner()
	now := n.clock.Now()
	*reply = PingReply{
		Incarnation: n.incarnation, Owner: o,
		StoreOK: n.health.failingFor(now) < ownerStoreFailureLimit, BegunTerm: n.begunTerm.Load(),
		Leaving: n.leaving.Load(), Load: n.view.ownerLoad(),
	}
	if args.WantMembers {
		reply.Members = n.view.memberList()
	}
	local := n.ownership.Load()
	if reply.IsOwner = local != nil; reply.IsOwner {
		local.recordPing(args, now)
		reply.Pending = local.pendingJobs()
		reply.Loaded = reply.Pending != nil
	}
	reply.ConfigAge, reply.ConfigConfirmed = n.confirmation.age(now)
	reply.ConfigVersion = n.configVersion()
	if c := n.view.currentConfig(); c != nil && c.Version > args.ConfigVersion {
		reply.Config = c.Raw
	} else if args.ConfigVersion > n.configVersion() {
		n.requestConfigRead()
	}
	return nil
}

// OwnerLost reports whether this process has lost contact with the owner.
func (p *Peer) OwnerLost(args OwnerLostArgs, reply *OwnerLostReply) error {
	o, _ := p.n.view.currentOwner()
	reply.Abstain = o.Term < args.Term
	reply.Lost = p.n.ownerIsLost(context.Background(), args.Term)
	return nil
}

// TakeOver makes this process claim ownership from an owner that hands it over.
func (p *Peer) TakeOver(args TakeOverArgs, _ *Empty) error {
	o, _ := p.n.view.currentOwner()
	if o.Term > args.Term || p.n.leaving.Load() {
		return oops.Errorf("not a candidate")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*storeTimeout)
	defer cancel()
	p.n.claim(ctx, o, ownerReplaced)
	if p.n.ownership.Load() == nil {
		return oops.Errorf("not claimed")
	}
	return nil
}

// Submit stores a job.
func (p *Peer) Submit(args SubmitArgs, reply *SubmitReply) error {
	p.n.noticeVersion(args.Caller.ConfigVersion)
	*reply = p.n.ownership.Load().submit(args)
	reply.ConfigVersion = p.n.configVersion()
	return nil
}

// Cancel cancels a job.
func (p *Peer) Cancel(args JobArgs, reply *SubmitReply) error {
	p.n.noticeVersion(args.Caller.ConfigVersion)
	reply.Outcome = p.n.ownership.Load().cancelJob(args, cancelTimeout)
	reply.ConfigVersion = p.n.configVersion()
	return nil
}

// State returns the state of a job.
func (p *Peer) State(args JobArgs, reply *StateReply) error {
	p.n.noticeVersion(args.Caller.ConfigVersion)
	*reply = p.n.ownership.Load().state(args)
	reply.ConfigVersion = p.n.configVersion()
	return nil
}

// Advise calls the advice service from this process.
func (p *Peer) Advise(args AdviseArgs, reply *AdviseReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Within)
	defer cancel()
	result, err := p.n.advise(ctx, args)
	*reply = result
	return err
}

// cancelTimeout is how long a cancellation that another process has forwarded waits to be stored.
const cancelTimeout = 2 * time.Second
