package control

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/agateyard/agateyard/internal/candidacy"
	"github.com/agateyard/agateyard/internal/ctxtime"
)

// campaign claims ownership, unless another member claims it first. An owner that is only silent is replaced only if a
// majority of the voters has lost it too. A process whose store calls fail searches for an owner instead.
func (n *Node) campaign(ctx context.Context, o OwnerInfo, verdict ownerVerdict) {
	if n.health.failingFor(n.clock.Now()) > 0 {
		n.searchOwner(ctx)
		return
	}
	began := n.clock.Now()
	ctxtime.Sleep(ctx, n.candidateDelay(o))
	if now, _ := n.view.currentOwner(); now.Term != o.Term || now.Incarnation != o.Incarnation {
		return
	}
	if n.leaveToFitter(ctx, o, began) {
		return
	}
	if verdict == ownerSilent && !n.vote(ctx, o) {
		return
	}
	n.claim(ctx, o, verdict)
}

// candidateDelay returns how long this process waits for better candidates to claim ownership first.
func (n *Node) candidateDelay(o OwnerInfo) time.Duration {
	return candidacy.Delay(n.self().candidate(), n.rivals(o), n.view.ownerLoad(), o.Term)
}

// rivals returns the other members that may replace an owner.
func (n *Node) rivals(o OwnerInfo) []candidacy.Candidate {
	var out []candidacy.Candidate
	for _, m := range n.view.memberList() {
		if m.Address != n.opt.Address && m.Incarnation != o.Incarnation && !m.Leaving {
			out = append(out, m.candidate())
		}
	}
	return out
}

const (
	// maxAskedRivals bounds the members that a candidate asks whether they are alive.
	maxAskedRivals = 8
	// rivalPingTimeout is far longer than a round trip between availability zones.
	rivalPingTimeout = 200 * time.Millisecond
)

// leaveToFitter reports whether a member that can carry the cell far better is alive and reaches the store, and is given
// more time to claim ownership: it may have been paused, or have noticed the loss later.
func (n *Node) leaveToFitter(ctx context.Context, o OwnerInfo, began time.Duration) bool {
	load, self := n.view.ownerLoad(), n.self().candidate()
	fitter := candidacy.Fitter(self, n.rivals(o), load)
	if len(fitter) == 0 || !n.deferral.Continue(o.Term, began) {
		return false
	}
	slices.SortFunc(fitter, func(a, b candidacy.Candidate) int {
		if candidacy.Better(a, b, load, o.Term) {
			return -1
		}
		return 1
	})
	var alive atomic.Int32
	var g errgroup.Group
	for _, c := range fitter[:min(len(fitter), maxAskedRivals)] {
		g.Go(func() error {
			reply, err := n.ping(ctx, c.Address, rivalPingTimeout)
			if err == nil && reply.Incarnation == c.Incarnation && reply.StoreOK && !reply.Leaving {
				alive.Add(1)
			}
			return nil // a member that doesn't answer is not waited for
		})
	}
	_ = g.Wait()
	if alive.Load() == 0 {
		return false
	}
	n.dep.Log.Log("left-to-fitter", logrus.Fields{
		"term": o.Term, "fitter": alive.Load(), "score": candidacy.Score(self.Machine, load), "runners": load.Runners,
	})
	return true
}

// betterOwner reports whether a is a better candidate than b.
func (n *Node) betterOwner(a, b Member, term int64) bool {
	return candidacy.Better(a.candidate(), b.candidate(), n.view.ownerLoad(), term)
}
