package entry

import (
	"maps"
	"slices"
)

// gossipIdle leaves out rounds of gossip that have no news.
type gossipIdle struct {
	rounds int // since the last message
	sent   GossipArgs
}

// send reports whether the round is to be sent.
func (g *gossipIdle) send(args GossipArgs) bool {
	g.rounds++
	if g.rounds < gossipIdleRounds && !g.news(args) {
		return false
	}
	g.rounds = 0
	g.sent = args
	return true
}

// news reports whether the message tells more than the last one sent. Without
// the store every round is sent: a process that hears of neither the store nor
// a peer for isolatedAfter takes itself off the balancer.
func (g *gossipIdle) news(args GossipArgs) bool {
	return len(args.Summaries) > 0 ||
		!args.StoreReachable ||
		!g.sent.StoreReachable ||
		!maps.Equal(args.Revisions, g.sent.Revisions) ||
		!slices.Equal(args.Adopted, g.sent.Adopted)
}
