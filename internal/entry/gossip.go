package entry

import (
	"cmp"
	"context"
	"math/rand"
	"time"

	"github.com/agateyard/agateyard/internal/configstore"
	"github.com/agateyard/agateyard/internal/model"
)

const (
	gossipInterval = 250 * time.Millisecond
	gossipFanout   = 3
	gossipTimeout  = time.Second
	// gossipKeepaliveRounds is the number of rounds after which a message is sent
	// even if nothing has changed. Sending unchanged state in every round, 4 times
	// a second, costs 3 KB/s.
	gossipKeepaliveRounds = 8
	// gossipFetchInterval is the minimum time between two fetches of all summaries.
	gossipFetchInterval = 5 * time.Second
)

// GossipArgs spreads state that the other processes may learn with a delay.
type GossipArgs struct {
	Header
	Self           model.Member
	StoreReachable bool
	Revisions      map[string]uint64   // of configuration documents
	Summaries      []model.PoolSummary // only those changed since the last round
	Digest         uint64              // of all summaries that the sender knows
	Adopted        []string            // dead predecessors whose journals the sender no longer needs
	AdoptedView    uint64              // view under which it needs them no longer; 0 from older processes
}

// DocumentsArgs requests configuration documents.
type DocumentsArgs struct {
	Header
	Names []string
}

// DocumentsReply is the reply to DocumentsArgs.
type DocumentsReply struct {
	Header
	Documents []configstore.Doc
}

// ViewReply carries the newest view that a process knows.
type ViewReply struct {
	Header
	View model.View
}

// runGossip sends gossip until ctx ends.
func (n *Node) runGossip(ctx context.Context) error {
	rnd := rand.New(rand.NewSource(time.Now().UnixNano()))
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	var filter gossipFilter
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		result := make(chan gossipRound, 1)
		n.post(gossipRoundRequest{result: result})
		var msg gossipRound
		select {
		case <-ctx.Done():
			return nil
		case msg = <-result:
		}
		msg.args.Revisions = n.config.Revisions()
		if !filter.shouldSend(msg.args) {
			continue
		}
		for _, to := range pickPeers(msg.peers, gossipFanout, rnd) {
			n.start("Peer.Gossip", func() { n.sendGossip(ctx, to, msg.args) })
		}
	}
}

func pickPeers(others []string, count int, rnd *rand.Rand) []string {
	rnd.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(count, len(others))]
}

func (n *Node) sendGossip(ctx context.Context, to string, args GossipArgs) {
	call, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	args.Header = n.header()
	var reply Empty
	if err := n.peers.call(call, to, connControl, "Peer.Gossip", args, &reply); err != nil {
		return
	}
	n.observe(reply.Header)
}

// gossipRoundRequest requests the content of a gossip round from the loop.
type gossipRoundRequest struct {
	result chan<- gossipRound
}

// gossipRound is the content of a gossip round and its possible receivers.
type gossipRound struct {
	args  GossipArgs
	peers []string
}

func (e gossipRoundRequest) apply(l *loop) {
	l.refreshSummaries()
	round := gossipRound{args: GossipArgs{
		Self:           l.n.self,
		StoreReachable: l.storeReachable,
		Adopted:        l.takeover.adoptedList(),
		AdoptedView:    l.view.Number,
		Digest:         l.digest,
	}}
	for id := range l.unsentSummaries {
		if s, ok := l.summaries[id]; ok {
			round.args.Summaries = append(round.args.Summaries, s)
		}
	}
	clear(l.unsentSummaries)
	for _, m := range l.view.Members {
		if m.Incarnation != l.n.self.Incarnation {
			round.peers = append(round.peers, m.Incarnation)
		}
	}
	e.result <- round
}

// gossipReceived passes a gossip message from a peer to the loop.
type gossipReceived struct {
	args GossipArgs
}

func (e gossipReceived) apply(l *loop) {
	l.lastPeerMessage = l.now()
	for _, s := range e.args.Summaries {
		l.mergeSummary(s)
	}
	// Under another view the sender may need the journals again.
	if cmp.Or(e.args.AdoptedView, e.args.View) == l.view.Number {
		l.takeover.setPeerAdopted(e.args.From, e.args.Adopted)
	}
	if e.args.Digest != l.digest {
		l.fetchSummaries(e.args.From)
	}
}

// mergeSummary stores the summary if it is newer than the known one, and includes
// it in the next gossip round.
func (l *loop) mergeSummary(s model.PoolSummary) {
	if s.Owner == l.n.self.Incarnation {
		return
	}
	if _, own := l.pools[s.Pool]; own {
		return
	}
	if _, live := l.view.Find(s.Owner); !live {
		return
	}
	known, ok := l.summaries[s.Pool]
	if ok && known.Owner == s.Owner && known.Version >= s.Version {
		return
	}
	if ok && known.Owner != s.Owner && l.view.PoolOwner(s.Pool) != s.Owner {
		return
	}
	l.setSummary(s.Pool, s)
	l.unsentSummaries[s.Pool] = true
	l.demandDirty = true
}

// refreshSummaries updates the summaries of the local pools.
func (l *loop) refreshSummaries() {
	now := l.now()
	for id, p := range l.pools {
		s := p.pool.Summary(now)
		s.Pool, s.Owner = id, l.n.self.Incarnation
		if known := l.summaries[id]; known.Owner == s.Owner && known.Version == s.Version {
			continue
		}
		l.setSummary(id, s)
		l.unsentSummaries[id] = true
	}
}

// fetchDocuments fetches newer configuration documents from a peer.
func (n *Node) fetchDocuments(ctx context.Context, from string, remote map[string]uint64) {
	own := n.config.Revisions()
	var names []string
	for name, rev := range remote {
		if rev > own[name] {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	var reply DocumentsReply
	args := DocumentsArgs{Header: n.header(), Names: names}
	if err := n.peers.call(call, from, connControl, "Peer.Documents", args, &reply); err != nil {
		return
	}
	n.config.Offer(reply.Documents)
}
