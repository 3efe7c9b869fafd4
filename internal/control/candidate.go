package control

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateyard/agateyard/internal/ctxtime"
)

const (
	// candidateStagger separates the attempts of candidates, so that each one sees the claim of the one before.
	candidateStagger = 80 * time.Millisecond
	// maxStaggers bounds the delay in case better candidates are dead but still listed as members.
	maxStaggers = 4
	// smallMachineDelay is the additional delay of a machine if another member has at least largerMachineRatio times its
	// weight. In that time the larger one can detect the loss (within a ping interval), repeat a vote that found no
	// majority, and claim ownership.
	smallMachineDelay = 700 * time.Millisecond
	// largerMachineRatio is the minimum ratio of weights at which the smaller machine waits for the larger one to claim
	// ownership, or hands ownership over to it.
	largerMachineRatio = 2
)

// campaign claims ownership, unless another member claims it first. An owner that is only silent is replaced only if a
// majority of the voters has lost it too. A process whose store calls fail searches for an owner instead.
func (n *Node) campaign(ctx context.Context, o OwnerInfo, verdict ownerVerdict) {
	if n.health.failingFor(n.clock.Now()) > 0 {
		n.searchOwner(ctx)
		return
	}
	ctxtime.Sleep(ctx, n.candidateDelay(o))
	if now, _ := n.view.currentOwner(); now.Term != o.Term || now.Incarnation != o.Incarnation {
		return
	}
	if verdict == ownerSilent && !n.vote(ctx, o) {
		return
	}
	n.claim(ctx, o, verdict)
}

// candidateDelay returns how long this process waits for better candidates to claim ownership first.
func (n *Node) candidateDelay(o OwnerInfo) time.Duration {
	self := n.self()
	largest := self.Weight
	better := map[string]bool{} // by address, as the former incarnations of a restarted process stay listed for a while
	for _, m := range n.view.memberList() {
		if m.Address == self.Address || m.Incarnation == o.Incarnation || m.Leaving {
			continue
		}
		largest = max(largest, m.Weight)
		earlier, listed := better[m.Address]
		better[m.Address] = betterOwner(m, self, o.Term) && (earlier || !listed)
	}
	ahead := 0
	for _, isBetter := range better {
		if isBetter {
			ahead++
		}
	}
	delay := time.Duration(min(ahead, maxStaggers)) * candidateStagger
	if largest >= largerMachineRatio*self.Weight {
		delay += smallMachineDelay
	}
	return delay
}

// betterOwner reports whether a is a better candidate than b: larger machines first, then by a hash that differs from
// term to term.
func betterOwner(a, b Member, term int64) bool {
	if a.Weight != b.Weight {
		return a.Weight > b.Weight
	}
	return candidateHash(a, term) < candidateHash(b, term)
}

func candidateHash(m Member, term int64) uint64 {
	return xxhash.Sum64String(m.Incarnation + "/" + time.Duration(term).String())
}
