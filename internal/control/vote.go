package control

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// voteTimeout bounds one round of calls to all members, which run in parallel.
const voteTimeout = 350 * time.Millisecond

// maxVoters bounds the calls of one vote in a large cell. A wrong vote costs a change of owner, but is safe, as each claim
// is conditional on the one before. The voters are the best candidates, which ping the owner often.
const maxVoters = frequentPingers

// vote asks other members whether they have lost the owner too, and reports whether a majority of the voters has.
// Members whose process has ended, and those that don't know the owner's term yet, don't count as voters.
func (n *Node) vote(ctx context.Context, o OwnerInfo) bool {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	lost, voters := 1, 1
	for _, m := range n.voters(o) {
		wg.Go(func() {
			var reply OwnerLostReply
			err := call(ctx, n.peers.get(m.Address), "OwnerLost", OwnerLostArgs{Term: o.Term}, &reply)
			mu.Lock()
			defer mu.Unlock()
			var dial *net.OpError
			if err != nil && noListener(err) && errors.As(err, &dial) {
				return
			}
			if err == nil && reply.Abstain {
				return
			}
			voters++
			if err == nil && reply.Lost {
				lost++
			}
		})
	}
	wg.Wait()
	agreed := 2*lost > voters
	silent, _ := n.view.ownerSilentFor(n.clock.Now())
	n.dep.Log.Log("owner-vote", logrus.Fields{
		"term": o.Term, "lost": lost, "voters": voters, "agreed": agreed, "silent_ms": silent.Milliseconds(), "ping_error": n.view.lastPingError(),
	})
	return agreed
}

// voters returns the best candidates among the other members, at most maxVoters.
func (n *Node) voters(o OwnerInfo) []Member {
	members := n.view.memberList()
	members = slices.DeleteFunc(members, func(m Member) bool { return m.Incarnation == n.incarnation || m.Incarnation == o.Incarnation })
	slices.SortFunc(members, func(a, b Member) int {
		if n.betterOwner(a, b, o.Term) {
			return -1
		}
		return 1
	})
	return members[:min(len(members), maxVoters)]
}

// votePingTimeout bounds the ping of a voter, whose vote has to arrive within voteTimeout.
const votePingTimeout = 200 * time.Millisecond

// ownerIsLost reports whether this process has lost the owner of a term too. A process that pings rarely asks the owner
// once more, as its last reply is too old to say anything.
func (n *Node) ownerIsLost(ctx context.Context, term int64) bool {
	o, _ := n.view.currentOwner()
	if o.Term != term || n.ownership.Load() != nil {
		return false
	}
	silent, suspect := n.view.ownerSilentFor(n.clock.Now())
	limit := n.view.silenceLimit(ownerSilenceLimit)
	if limit > ownerSilenceLimit && silent <= limit {
		return n.view.ownerIsGone() // a single ping that failed says nothing about an owner that may be loading
	}
	if suspect {
		return true
	}
	if n.ownPingInterval() == pingInterval {
		return silent > limit
	}
	reply, err := n.ping(ctx, o.Address, votePingTimeout)
	if LocalFailure(err) {
		return false
	}
	if err != nil {
		n.view.recordPingFailure(err.Error(), noListener(err))
		return true
	}
	if reply.Incarnation != o.Incarnation || !reply.IsOwner {
		return reply.Owner.Term <= o.Term
	}
	n.view.recordOwnerReply(n.clock.Now())
	return false
}
