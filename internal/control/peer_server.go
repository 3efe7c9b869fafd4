package control

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"github.com/samber/oops"

	"github.com/agateyard/agateyard/internal/ctxtime"
	"github.com/agateyard/agateyard/internal/job"
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
		n.goProtected("peer connection", func() {
			defer conn.Close() // also after a panic in the decoder
			server.ServeConn(conn)
		})
	}
}

// Ping returns what this process knows of the cell.
func (p *Peer) Ping(args PingArgs, reply *PingReply) (err error) {
	defer p.n.recoverCall("Ping", &err)
	n := p.n
	if args.Owner.Incarnation != "" {
		n.learnOwner(args.Owner, "peer")
		n.noticeLife(args)
	}
	if args.FreshConfig {
		n.refreshForPeer()
	}
	o, _ := n.view.currentOwner()
	now := n.clock.Now()
	*reply = PingReply{
		Incarnation: n.incarnation, Owner: o,
		StoreOK: n.storeOK(now), BegunTerm: n.begunTerm.Load(),
		Leaving: n.leaving.Load(), Load: n.view.ownerLoad(),
	}
	if args.WantMembers {
		reply.Members = n.view.memberList()
	}
	local := n.ownership.Load()
	if reply.IsOwner = local != nil; reply.IsOwner {
		local.recordPing(args, now)
		var countedAt time.Duration
		reply.Pending, countedAt = local.pendingJobs()
		reply.Loaded, reply.PendingAge = reply.Pending != nil, now-countedAt
	}
	reply.ConfigAge, reply.ConfigConfirmed = n.config.age(now)
	reply.ConfigVersion = n.configVersion()
	if c := n.config.load(); c != nil && c.Version > args.ConfigVersion {
		reply.Config = c.Raw
	} else if args.ConfigVersion > n.configVersion() {
		n.requestConfigRead()
	}
	return nil
}

// storeOK reports whether this process reaches the store. While it loads the durable state its other calls may run into their
// time limits behind the pages, whose arrival proves more.
func (n *Node) storeOK(now time.Duration) bool {
	if o := n.ownership.Load(); o != nil && !o.progress.done.Load() && o.progress.within(maxPageTime, now) {
		return true
	}
	return n.health.failingFor(now) < ownerStoreFailureLimit && !n.configOverdue(now)
}

// OwnerLost reports whether this process has lost contact with the owner.
func (p *Peer) OwnerLost(args OwnerLostArgs, reply *OwnerLostReply) (err error) {
	defer p.n.recoverCall("OwnerLost", &err)
	o, _ := p.n.view.currentOwner()
	reply.Abstain = o.Term < args.Term
	reply.Lost = p.n.ownerIsLost(context.Background(), args.Term)
	return nil
}

// TakeOver makes this process claim ownership from an owner that hands it over.
func (p *Peer) TakeOver(args TakeOverArgs, _ *Empty) (err error) {
	defer p.n.recoverCall("TakeOver", &err)
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

// checkSpec checks a job that another process has accepted. A job that breaks the limits would end the ownership of every
// owner that loads it.
func checkSpec(spec job.Spec) error {
	if !job.ValidID(spec.ID) {
		return oops.Errorf("malformed job: the identifier is invalid")
	}
	if err := spec.Validate(); err != nil {
		return oops.Wrapf(err, "malformed job")
	}
	return nil
}

// Submit stores a job.
func (p *Peer) Submit(args SubmitArgs, reply *SubmitReply) (err error) {
	defer p.n.recoverCall("Submit", &err)
	if err := checkSpec(args.Spec); err != nil {
		return err // not an outcome: an earlier request for the job may have been stored
	}
	p.n.noticeVersion(args.Caller.ConfigVersion)
	*reply = p.n.ownership.Load().submit(context.Background(), args)
	reply.ConfigVersion = p.n.configVersion()
	return nil
}

// Cancel cancels a job.
func (p *Peer) Cancel(args JobArgs, reply *SubmitReply) (err error) {
	defer p.n.recoverCall("Cancel", &err)
	p.n.noticeVersion(args.Caller.ConfigVersion)
	reply.Outcome = p.n.ownership.Load().cancelJob(context.Background(), args)
	reply.ConfigVersion = p.n.configVersion()
	return nil
}

// State returns the state of a job.
func (p *Peer) State(args JobArgs, reply *StateReply) (err error) {
	defer p.n.recoverCall("State", &err)
	p.n.noticeVersion(args.Caller.ConfigVersion)
	*reply = p.n.ownership.Load().state(context.Background(), args)
	reply.ConfigVersion = p.n.configVersion()
	return nil
}

// Advise calls the advice service from this process.
func (p *Peer) Advise(args AdviseArgs, reply *AdviseReply) (err error) {
	defer p.n.recoverCall("Advise", &err)
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Within, maxPeerCall))
	defer cancel()
	*reply, err = p.n.advise(ctx, args)
	return err
}

// maxPeerCall bounds the time that another process may ask this one to spend on a call, above the longest advice call.
const maxPeerCall = time.Minute

// cancelTimeout is how long a cancellation that another process has forwarded waits to be stored at most.
const cancelTimeout = 2 * time.Second
