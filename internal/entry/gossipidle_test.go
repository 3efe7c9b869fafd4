package entry

import (
	"testing"

	"github.com/agateyard/agateyard/internal/model"
)

func quietRound() GossipArgs {
	return GossipArgs{StoreReachable: true, Revisions: map[string]uint64{"config/cell": 3}, Adopted: []string{"p"}}
}

// Guards against news that wait for the next idle message, and against idle
// rounds that are sent although nothing changed.
func TestGossipIdleSendsNewsAtOnce(t *testing.T) {
	tests := []struct {
		name   string
		change func(*GossipArgs)
		want   bool
	}{
		{"no news", func(*GossipArgs) {}, false},
		{"summary", func(a *GossipArgs) { a.Summaries = []model.PoolSummary{{Pool: "worker/z/r"}} }, true},
		{"revision", func(a *GossipArgs) { a.Revisions = map[string]uint64{"config/cell": 4} }, true},
		{"new document", func(a *GossipArgs) { a.Revisions = map[string]uint64{"config/cell": 3, "config/workspace/w": 1} }, true},
		{"adopted", func(a *GossipArgs) { a.Adopted = []string{"p", "q"} }, true},
		{"store lost", func(a *GossipArgs) { a.StoreReachable = false }, true},
		{"digest only", func(a *GossipArgs) { a.Digest = 7 }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g gossipIdle
			g.rounds = gossipIdleRounds
			if !g.send(quietRound()) {
				t.Fatal("first round is not sent")
			}
			next := quietRound()
			tt.change(&next)
			if got := g.send(next); got != tt.want {
				t.Errorf("sent %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against silence: a process without news must be heard of, and one
// that has lost the store must be heard of in every round.
func TestGossipIdleIsHeardOf(t *testing.T) {
	var g gossipIdle
	sent := 0
	for range 4 * gossipIdleRounds {
		if g.send(quietRound()) {
			sent++
		}
	}
	// The first round tells the state itself; the others come at the idle interval.
	if sent < 4 || sent > 5 {
		t.Errorf("sent %d messages in %d rounds", sent, 4*gossipIdleRounds)
	}
	lost := quietRound()
	lost.StoreReachable = false
	for range 3 {
		if !g.send(lost) {
			t.Fatal("a process without the store leaves out a round")
		}
	}
	if !g.send(quietRound()) {
		t.Fatal("the return of the store is not told")
	}
}

// Guards against a digest that hides a missed summary, or that differs between
// processes which know the same.
func TestDigestTellsMissedSummaries(t *testing.T) {
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
			t.Errorf("%s: same digest", name)
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
