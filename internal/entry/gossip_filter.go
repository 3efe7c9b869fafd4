package entry

import (
	"maps"
	"slices"
)

// gossipFilter skips gossip rounds in which nothing has changed, except for
// keepalives and while the store is unreachable.
type gossipFilter struct {
	roundsSinceSend int // since the last message
	lastSent        GossipArgs
}

// shouldSend reports whether the round is to be sent. If so, it records it as
// sent.
func (g *gossipFilter) shouldSend(args GossipArgs) bool {
	g.roundsSinceSend++
	if g.roundsSinceSend < gossipKeepaliveRounds && !g.changed(args) {
		return false
	}
	g.roundsSinceSend = 0
	g.lastSent = args
	return true
}

// changed reports whether the message differs from the last one sent. The digest
// is not compared. While this process can't reach the store every round is sent:
// its peers may be without the store too, and then report that they are not ready
// if they receive no message for isolationTimeout.
func (g *gossipFilter) changed(args GossipArgs) bool {
	return len(args.Summaries) > 0 ||
		!args.StoreReachable ||
		!g.lastSent.StoreReachable ||
		!maps.Equal(args.Revisions, g.lastSent.Revisions) ||
		args.AdoptedView != g.lastSent.AdoptedView ||
		!slices.Equal(args.Adopted, g.lastSent.Adopted)
}
