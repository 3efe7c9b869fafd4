package entry

import (
	"testing"

	"github.com/agateyard/agateyard/internal/model"
)

func unchangedRound() GossipArgs {
	return GossipArgs{StoreReachable: true, Revisions: map[string]uint64{"config/cell": 3}, Adopted: []string{"p"}}
}

// Guards against changes that are delayed until the next keepalive, and against
// unchanged rounds that are sent.
func TestGossipFilterSendsChangesAtOnce(t *testing.T) {
	tests := []struct {
		name   string
		change func(*GossipArgs)
		want   bool
	}{
		{"no change", func(*GossipArgs) {}, false},
		{"summary", func(a *GossipArgs) { a.Summaries = []model.PoolSummary{{Pool: "worker/z/r"}} }, true},
		{"revision", func(a *GossipArgs) { a.Revisions = map[string]uint64{"config/cell": 4} }, true},
		{"new document", func(a *GossipArgs) { a.Revisions = map[string]uint64{"config/cell": 3, "config/workspace/w": 1} }, true},
		{"adopted", func(a *GossipArgs) { a.Adopted = []string{"p", "q"} }, true},
		{"store unreachable", func(a *GossipArgs) { a.StoreReachable = false }, true},
		{"digest only", func(a *GossipArgs) { a.Digest = 7 }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g gossipFilter
			g.roundsSinceSend = gossipKeepaliveRounds
			if !g.shouldSend(unchangedRound()) {
				t.Fatal("first round was not sent")
			}
			next := unchangedRound()
			tt.change(&next)
			if got := g.shouldSend(next); got != tt.want {
				t.Errorf("sent %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against missing messages: a process whose state does not change must
// still send keepalives, and one that can't reach the store must send every round.
func TestGossipFilterSendsKeepalives(t *testing.T) {
	var g gossipFilter
	sent := 0
	for range 4 * gossipKeepaliveRounds {
		if g.shouldSend(unchangedRound()) {
			sent++
		}
	}
	// The first round is always sent; the others are keepalives.
	if sent < 4 || sent > 5 {
		t.Errorf("sent %d messages in %d rounds", sent, 4*gossipKeepaliveRounds)
	}
	lost := unchangedRound()
	lost.StoreReachable = false
	for range 3 {
		if !g.shouldSend(lost) {
			t.Fatal("round skipped while the store is unreachable")
		}
	}
	if !g.shouldSend(unchangedRound()) {
		t.Fatal("round skipped when the store became reachable again")
	}
}

// Guards against a digest that stays the same when a summary was missed, and
// against one that differs between processes with the same summaries.
func TestDigestDetectsMissedSummaries(t *testing.T) {
	build := func(version uint64, ids ...model.PoolID) *loop {
		l := &loop{summaries: make(map[model.PoolID]model.PoolSummary)}
		for _, id := range ids {
			l.setSummary(id, model.PoolSummary{Pool: id, Owner: "o", Version: version})
		}
		return l
	}
	base := build(1, "a", "b", "c").digest
	if build(1, "c", "b", "a").digest != base {
		t.Error("digest depends on the order")
	}
	for name, other := range map[string]*loop{
		"missing pool": build(1, "a", "b"),
		"version":      build(2, "a", "b", "c"),
		"empty":        build(1),
	} {
		if other.digest == base {
			t.Errorf("%s: digest is unchanged", name)
		}
	}
	late := build(1, "a", "b", "c", "d")
	late.setSummary("b", model.PoolSummary{Pool: "b", Owner: "o", Version: 2})
	late.dropSummary("d")
	late.dropSummary("d")
	late.setSummary("b", model.PoolSummary{Pool: "b", Owner: "o", Version: 1})
	if late.digest != base {
		t.Error("digest depends on the history")
	}
}
