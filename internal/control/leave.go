package control

import (
	"context"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/ctxtime"
	"github.com/agateyard/agateyard/internal/decisionlog"
)

const (
	// handoverTimeout bounds one request that asks a member to take over.
	handoverTimeout = 700 * time.Millisecond
	// handoverDelay gives commits in flight time to finish before the handover.
	handoverDelay = 20 * time.Millisecond
)

// Leave tries to hand ownership over until ctx is done, and keeps this process from claiming it again. The process goes on
// serving callers, and stays the owner if no member takes over.
func (n *Node) Leave(ctx context.Context) {
	n.leaving.Store(true)
	local := n.ownership.Load()
	n.dep.Log.Log("leaving", logrus.Fields{"owner": local != nil})
	if local == nil {
		return
	}
	ctxtime.Sleep(ctx, handoverDelay)
	n.handOver(ctx, local, n.view.memberList())
}

// handOver asks the members to take over, the best candidate first, until one has become the owner or the ownership has ended
// otherwise. Members that are about to stop refuse, so those that are known to are not asked.
func (n *Node) handOver(ctx context.Context, local *ownership, members []Member) {
	sort.Slice(members, func(i, k int) bool { return n.betterOwner(members[i], members[k], local.info.Term) })
	for _, m := range members {
		if ctx.Err() != nil || local.ctx.Err() != nil {
			return // the ownership has ended meanwhile, or the time for it
		}
		if m.Incarnation == n.incarnation || m.Leaving || local.isLeaving(m.Incarnation) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
		err := call(callCtx, n.peers.get(m.Address), "TakeOver", TakeOverArgs{Term: local.info.Term}, &Empty{})
		cancel()
		n.dep.Log.Log("handover", logrus.Fields{"to": m.Address, "error": decisionlog.ErrorText(err)})
		if err == nil {
			break
		}
	}
}
