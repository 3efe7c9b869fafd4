package entry

import (
	"context"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/agateyard/agateyard/internal/model"
)

// summaryDigest returns the hash of one summary. The digest of a set of summaries
// is the XOR of their hashes: it does not depend on the order, and a change
// updates it without hashing the other summaries.
func summaryDigest(s model.PoolSummary) uint64 {
	buf := make([]byte, 0, 128)
	buf = append(buf, s.Pool...)
	buf = append(buf, 0)
	buf = append(buf, s.Owner...)
	buf = binary.BigEndian.AppendUint64(buf, s.Version)
	return xxhash.Sum64(buf)
}

// setSummary replaces the summary of a pool.
func (l *loop) setSummary(id model.PoolID, s model.PoolSummary) {
	l.dropSummary(id)
	l.summaries[id] = s
	l.digest ^= summaryDigest(s)
}

// dropSummary removes the summary of a pool.
func (l *loop) dropSummary(id model.PoolID) {
	if old, ok := l.summaries[id]; ok {
		delete(l.summaries, id)
		l.digest ^= summaryDigest(old)
	}
}

// SummariesReply carries all summaries that a process knows.
type SummariesReply struct {
	Header
	Summaries []model.PoolSummary
}

// Summaries returns all known summaries to a process that has missed some.
func (s *PeerService) Summaries(args Empty, reply *SummariesReply) (failure error) {
	defer s.n.recoverCall("Peer.Summaries", &failure)
	s.n.observe(args.Header)
	ctx, cancel := context.WithTimeout(s.n.ctx, rpcTimeout)
	defer cancel()
	all, err := postAndWait(ctx, s.n, func(r chan<- []model.PoolSummary) event { return summariesRequest{result: r} })
	reply.Header, reply.Summaries = s.n.header(), all
	return err
}

// summariesRequest requests all summaries from the loop.
type summariesRequest struct {
	result chan<- []model.PoolSummary
}

func (e summariesRequest) apply(l *loop) { e.result <- l.summaryOrder.list(l.summaries) }

// fetchSummaries fetches all summaries from a peer whose digest differs, at most
// once per gossipFetchInterval: updates in flight make digests differ too.
func (l *loop) fetchSummaries(from string) {
	now := l.now()
	if now.Sub(l.summariesFetchedAt) < gossipFetchInterval {
		return
	}
	l.summariesFetchedAt = now
	n := l.n
	n.start("Peer.Summaries", func() {
		ctx, cancel := context.WithTimeout(n.ctx, gossipTimeout)
		defer cancel()
		var reply SummariesReply
		err := n.peers.call(ctx, from, connControl, "Peer.Summaries", Empty{Header: n.header()}, &reply)
		if err != nil {
			return
		}
		n.observe(reply.Header)
		n.post(summariesFetched{summaries: reply.Summaries})
	})
}

// summariesFetched is the result of fetchSummaries.
type summariesFetched struct {
	summaries []model.PoolSummary
}

func (e summariesFetched) apply(l *loop) {
	for _, s := range e.summaries {
		l.mergeSummary(s)
	}
}
