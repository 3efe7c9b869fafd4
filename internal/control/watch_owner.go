package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// pingInterval is the pause between two pings of the owner, in a large cell by the frequent pingers. It bounds how late
	// an owner's end is noticed when its process still answers or refuses connections.
	pingInterval = 200 * time.Millisecond
	// pingTimeout gives a machine that runs five times slower than usual enough time to answer.
	pingTimeout = 500 * time.Millisecond
	// minPingTimeout is the ping timeout for an owner that has been silent for long: several round trips between
	// availability zones.
	minPingTimeout = 100 * time.Millisecond
	// ownerSilenceLimit is how long the owner may be silent before a vote on its replacement.
	ownerSilenceLimit = 750 * time.Millisecond
	// ownerStoreFailureLimit is how long the owner's store calls may fail while other processes reach the store. With a
	// working store the owner's watch of the runners is answered more often than that.
	ownerStoreFailureLimit = 400 * time.Millisecond
	// storeAnswerMaxAge is the maximum age of an answer that shows that this process reaches the store: the interval of
	// lease renewals plus the duration of a call.
	storeAnswerMaxAge = 1200 * time.Millisecond
	// storeStableTime is how long the store must have answered a process without failure before it replaces an owner that
	// doesn't reach the store, and before an owner yields to a larger machine. After an outage all processes regain the
	// store within that time.
	storeStableTime = 700 * time.Millisecond
)

// watchOwner pings the owner and claims ownership when the owner is lost.
func (n *Node) watchOwner(ctx context.Context) {
	for ctx.Err() == nil {
		_, changed := n.view.currentOwner()
		if n.ownership.Load() == nil {
			n.checkOwner(ctx)
		}
		pause := n.ownPingInterval()
		if _, suspect := n.view.ownerSilentFor(n.clock.Now()); suspect {
			pause = pingInterval
		}
		select {
		case <-changed: // the store or a peer has reported a new owner
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// ownerVerdict is the result of one check of the owner.
type ownerVerdict int

const (
	ownerHealthy  ownerVerdict = iota
	ownerSilent                // no answer: the members have to vote
	ownerReplaced              // certain: there is no owner, or the process that claimed ownership is not the owner
	ownerNoStore               // the owner reports that it doesn't reach the store
)

func (n *Node) checkOwner(ctx context.Context) {
	o, _ := n.view.currentOwner()
	if n.leaving.Load() {
		// It claims nothing any more, but still serves and votes, and the owner learns that it is about to stop.
		if o.Incarnation != "" && o.Incarnation != n.incarnation {
			n.pingOwner(ctx, o)
		}
		return
	}
	if o.Incarnation == "" {
		if !n.view.ownerWasRead() {
			n.searchOwnerInBackground(ctx)
			return
		}
		n.campaign(ctx, o, ownerReplaced)
		return
	}
	if o.Incarnation == n.incarnation {
		if o.Term > n.begunTerm.Load() && o.Rev > 0 {
			n.becomeOwner(o) // the claim succeeded although its answer was lost
			return
		}
		if n.leavesClaimToOthers() {
			return
		}
		n.campaign(ctx, o, ownerReplaced)
		return
	}
	verdict := n.pingOwner(ctx, o)
	if verdict != ownerHealthy {
		n.campaign(ctx, o, verdict)
	}
}

func (n *Node) pingOwner(ctx context.Context, o OwnerInfo) ownerVerdict {
	silent, _ := n.view.ownerSilentFor(n.clock.Now())
	limit := n.view.silenceLimit(pingSilenceLimit(n.ownPingInterval()))
	reply, err := n.ping(ctx, o.Address, ownerPingTimeout(silent, limit))
	now := n.clock.Now()
	silent, _ = n.view.ownerSilentFor(now)
	if LocalFailure(err) {
		return ownerHealthy // nothing was sent, so nothing is known of the owner
	}
	if err != nil {
		n.view.recordPingFailure(err.Error(), noListener(err))
		if noListener(err) || silent > limit {
			return ownerSilent
		}
		return ownerHealthy
	}
	n.applyPingReply(reply)
	if reply.Incarnation != o.Incarnation || !reply.IsOwner {
		if reply.Owner.Term > o.Term {
			return ownerHealthy
		}
		if reply.Incarnation == o.Incarnation && reply.BegunTerm < o.Term && silent <= min(n.view.silenceLimit(ownerSilenceLimit), 2*storeTimeout) {
			return ownerHealthy // the store's answer to its claim, which it waits for that long at most, may still be in transit
		}
		n.view.recordPingFailure("the process is not the owner", true)
		return ownerReplaced
	}
	n.view.recordOwnerReply(now)
	if reply.Loaded {
		n.view.recordLoadedOwner(o.Term, now)
		n.view.setPending(reply.Pending, reply.sentAt-min(max(reply.PendingAge, 0), 2*maxPendingAge))
	}
	if !reply.StoreOK && n.health.answeredWithin(storeAnswerMaxAge, now) && n.health.stableFor(storeStableTime, now) && !n.configOverdue(now) {
		return ownerNoStore
	}
	return ownerHealthy
}

// ownerPingTimeout returns the timeout of a ping of an owner that has been silent for the given time. It ends when a vote
// becomes due, which is after limit, but is never shorter than minPingTimeout.
func ownerPingTimeout(silent, limit time.Duration) time.Duration {
	return min(max(limit-silent, minPingTimeout), pingTimeout)
}

func (n *Node) ping(ctx context.Context, address string, limit time.Duration) (PingReply, error) {
	reply, err := n.sendPing(ctx, address, n.pingArgs(), limit)
	if errors.Is(err, context.DeadlineExceeded) {
		n.peers.get(address).disconnect(nil) // the connection may be dead
	}
	return reply, err
}

func (n *Node) pingArgs() PingArgs {
	o, _ := n.view.currentOwner()
	return PingArgs{
		From: n.incarnation, Address: n.opt.Address, Owner: o, Leaving: n.leaving.Load(), WantMembers: n.needsMembers(),
		ConfigVersion: n.configVersion(), Interval: n.ownPingInterval(),
	}
}

func (n *Node) sendPing(ctx context.Context, address string, args PingArgs, limit time.Duration) (PingReply, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var reply PingReply
	sentAt := n.clock.Now()
	err := call(ctx, n.peers.get(address), "Ping", args, &reply)
	reply.sentAt, reply.sentTo = sentAt, address
	return reply, err
}

// applyPingReply updates this process's view with what a peer knows.
func (n *Node) applyPingReply(reply PingReply) {
	if reply.Owner.Incarnation != "" {
		n.learnOwner(reply.Owner, "peer")
	}
	n.learnPeerConfig(reply)
	n.confirmByPeer(reply)
	if reply.Load.Runners > 0 && (reply.IsOwner || n.view.ownerLoad().Runners == 0) {
		n.view.setOwnerLoad(reply.Load)
	}
	if n.needsMembers() && len(reply.Members) > 0 {
		n.view.setMembers(slices.DeleteFunc(reply.Members, func(m Member) bool { return !m.valid() }))
	}
}

// needsMembers reports whether the member list has to come from peers: no member is known, or the store has failed for
// longer than a member's lease.
func (n *Node) needsMembers() bool {
	return n.health.failingFor(n.clock.Now()) > memberLease || len(n.view.memberList()) == 0
}

// searchOwnerInBackground runs searchOwner in a goroutine, so that seeds that don't answer delay nothing while the store
// is being read.
func (n *Node) searchOwnerInBackground(ctx context.Context) {
	if !n.searchingOwner.CompareAndSwap(false, true) {
		return
	}
	n.goProtected("owner search", func() {
		defer n.searchingOwner.Store(false)
		n.searchOwner(ctx)
	})
}

// maxSearchedMembers bounds the members that a search for the owner asks, so that a store outage doesn't make every
// process of a large cell call every other.
const maxSearchedMembers = 20

// searchOwner pings the seeds and some of the known members to learn of the owner while the store has not been read or is
// unreachable. Repeated searches ask different members.
func (n *Node) searchOwner(ctx context.Context) {
	members := n.view.memberList()
	rand.Shuffle(len(members), func(i, k int) { members[i], members[k] = members[k], members[i] })
	addresses := map[string]bool{}
	for _, seed := range n.opt.Seeds {
		addresses[seed] = true
	}
	for _, m := range members[:min(len(members), maxSearchedMembers)] {
		addresses[m.Address] = true
	}
	delete(addresses, n.opt.Address)
	var wg sync.WaitGroup
	for address := range addresses {
		wg.Go(func() {
			var failure error // logged by recoverCall
			defer n.recoverCall("owner search", &failure)
			reply, err := n.ping(ctx, address, pingTimeout)
			if err != nil {
				return // other processes are asked in parallel
			}
			n.applyPingReply(reply)
		})
	}
	wg.Wait()
}

// noListener reports whether an error shows that no process serves at the address any more.
func noListener(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) ||
		strings.Contains(err.Error(), "refused") || strings.Contains(err.Error(), "EOF")
}
