package entry

import (
	"context"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/agateyard/agateyard/internal/model"
)

// summaryDigest returns the part of one summary in the digest. The digest of
// several is their exclusive or, which does not depend on the order and follows
// a change without a pass over all of them.
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

// dropSummary forgets the summary of a pool.
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

// Summaries returns all summaries, for a process that missed some.
func (s *PeerService) Summaries(args Empty, reply *SummariesReply) error {
	s.n.observe(args.Header)
	ctx, cancel := context.WithTimeout(s.n.ctx, rpcTimeout)
	defer cancel()
	all, err := ask(ctx, s.n, func(r chan<- []model.PoolSummary) event { return summariesWanted{result: r} })
	reply.Header, reply.Summaries = s.n.header(), all
	return err
}

// summariesWanted asks the loop for all summaries.
type summariesWanted struct {
	result chan<- []model.PoolSummary
}

func (e summariesWanted) apply(l *loop) { e.result <- l.summaryOrder.list(l.summaries) }

// fetchSummaries takes all summaries from a peer whose digest differs, unless
// a fetch was made a short time ago: changes under way make digests differ too.
func (l *loop) fetchSummaries(from string) {
	now := l.now()
	if now.Sub(l.fetchedAt) < gossipFetchInterval {
		return
	}
	l.fetchedAt = now
	n := l.n
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, gossipTimeout)
		defer cancel()
		var reply SummariesReply
		err := n.peers.call(ctx, from, connControl, "Peer.Summaries", Empty{Header: n.header()}, &reply)
		if err != nil {
			return
		}
		n.observe(reply.Header)
		n.post(summariesFetched{summaries: reply.Summaries})
	}()
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
