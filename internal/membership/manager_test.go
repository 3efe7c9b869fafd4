package membership

import (
	"fmt"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform"
	"github.com/agateyard/agateyard/internal/platform/standin"
)

// Guards against members that disagree on a view, view numbers that decrease, dead
// members that do not become predecessors, graceful leaves that are treated as deaths,
// and live members that are removed, under crashes, pauses and store faults.
func TestViewsAgreeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			c := newCell()
			defer c.close()
			faults := standin.Faults{}
			pick := func(t *rapid.T) *node {
				alive := c.alive()
				if len(alive) == 0 {
					t.Skip("no node is alive")
				}
				return alive[rapid.IntRange(0, len(alive)-1).Draw(t, "node")]
			}
			t.Repeat(map[string]func(*rapid.T){
				"start": func(t *rapid.T) {
					if len(c.alive()) >= 6 {
						t.Skip("enough nodes")
					}
					c.start(c.server)
				},
				"crash":         func(t *rapid.T) { c.crash(pick(t)) },
				"lease expires": func(t *rapid.T) { c.expireLease(pick(t)) },
				"leave":         func(t *rapid.T) { pick(t).leave(true) },
				"leave and crash": func(t *rapid.T) {
					n := pick(t)
					n.leave(false)
					time.Sleep(drawDelay(t))
					c.crash(n)
				},
				"faults": func(t *rapid.T) {
					faults = standin.Faults{
						Outage:           rapid.Bool().Draw(t, "outage"),
						LostReplies:      rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "lost replies"),
						LoseNextRequests: rapid.IntRange(0, 1).Draw(t, "lost requests"),
						StallWatches:     rapid.Bool().Draw(t, "stall"),
						LatencyMS:        rapid.SampledFrom([]int64{0, 400}).Draw(t, "latency"),
					}
					c.server.SetFaults(faults)
				},
				"advance": func(t *rapid.T) { time.Sleep(drawDelay(t)) },
				"":        func(t *rapid.T) { c.checkUpdates(t) },
			})
			c.waitAndCheck(t)
			last := c.start(c.server)
			c.waitAndCheck(t)
			for _, dead := range last.last().View.Predecessors {
				if err := last.m.DropPredecessor(t.Context(), dead); err != nil {
					t.Fatalf("drop: %v", err)
				}
			}
			time.Sleep(time.Second)
			if v := last.last().View; len(v.Predecessors) != 0 {
				t.Fatalf("predecessors are left in %+v", v)
			}
		})
	})
}

func drawDelay(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
}

// Guards against a takeover that takes longer than the 5 s that the targets allow, and
// against one that never happens while the store stalls all watches.
func TestDeadMemberIsRemovedFromViewOnTime(t *testing.T) {
	for stalled, maxElapsed := range map[bool]time.Duration{false: 4 * time.Second, true: 10 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			c := newCell()
			defer c.close()
			for range 9 {
				c.start(c.server)
			}
			time.Sleep(3 * time.Second)
			dead := c.nodes[4]
			c.crash(dead)
			c.server.SetFaults(standin.Faults{StallWatches: stalled})
			start := time.Now()
			for slices.ContainsFunc(c.nodes[0].last().View.Members, func(m model.Member) bool { return m.Incarnation == dead.name }) {
				time.Sleep(10 * time.Millisecond)
			}
			elapsed := time.Since(start)
			t.Logf("stalled %v: new view after %v", stalled, elapsed)
			if elapsed > maxElapsed {
				t.Errorf("stalled %v: new view after %v", stalled, elapsed)
			}
		})
	}
}

// Guards against members that lose their membership in an outage of the store, and
// against a burst of calls above the store's limits when the outage ends.
func TestOutageKeepsViewAndEndsWithoutBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell()
		defer c.close()
		for range 65 {
			c.start(c.server)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		before := c.nodes[0].last()
		c.server.SetFaults(standin.Faults{Outage: true})
		time.Sleep(10 * time.Minute)
		if u := c.nodes[0].last(); u.StoreReachable || u.View.Number != before.View.Number {
			t.Errorf("in the outage: %+v, before it: %+v", u, before)
		}
		throttled := c.server.Counters().Throttled
		calls := c.server.Counters()
		c.server.SetFaults(standin.Faults{})
		time.Sleep(time.Second)
		after := c.server.Counters()
		t.Logf("first second after the outage: %d writes, %d reads", after.Writes-calls.Writes, after.Reads-calls.Reads)
		c.waitAndCheck(t)
		if n := c.server.Counters().Throttled - throttled; n > 0 {
			t.Errorf("%d calls exceeded the limits", n)
		}
		if u := c.nodes[0].last(); u.View.Number != before.View.Number {
			t.Errorf("the view changed from %d to %d", before.View.Number, u.View.Number)
		}
	})
}

// Guards against a paused process that continues as a member after its lease has
// expired, and against an incarnation that is used twice.
func TestPausedProcessIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell()
		defer c.close()
		n, other := c.start(c.server), c.start(c.server)
		time.Sleep(2 * time.Second)
		c.expireLease(n)
		n.checkRunResult(t, ErrReplaced)
		c.checkUpdates(t)
		if v := other.last().View; !slices.Equal(v.Predecessors, []string{n.name}) {
			t.Errorf("view %+v", v)
		}
		again := New(Config{Self: model.Member{Incarnation: other.name}, Store: c.server})
		if err := again.Run(t.Context()); err != ErrReplaced {
			t.Errorf("incarnation already in use: %v", err)
		}
	})
}

// Guards against a leaving process that loses its lease during the handover, or that
// is added to the view again.
func TestLeaveKeepsTheLeaseUntilRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell()
		defer c.close()
		n, other := c.start(c.server), c.start(c.server)
		time.Sleep(2 * time.Second)
		n.expectStop(false)
		c.server.SetFaults(standin.Faults{LoseNextReplies: 2})
		if err := n.m.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		v := other.last().View
		if len(v.Members) != 1 || !slices.Equal(v.Leaving, []string{n.name}) || len(v.Predecessors) != 0 {
			t.Errorf("view during the handover: %+v", v)
		}
		if _, err := c.server.Get(t.Context(), memberPrefix+n.name); err != nil {
			t.Errorf("member key during the handover: %v", err)
		}
		c.server.SetFaults(standin.Faults{LatencyMS: 400}) // longer than the quiet period
		if err := n.m.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		n.checkRunResult(t, nil)
		v = other.last().View
		if len(v.Members) != 1 || len(v.Leaving) != 0 || len(v.Predecessors) != 0 {
			t.Errorf("view after the release: %+v", v)
		}
	})
}

// Guards against an idle cell that exceeds its share of the store's capacity, and
// against more than one pending watch per process.
func TestIdleCallsOfNineMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell()
		defer c.close()
		for range 9 {
			c.start(c.server)
		}
		time.Sleep(10 * time.Second)
		before := c.server.Counters()
		const seconds = 60
		time.Sleep(seconds * time.Second)
		after := c.server.Counters()
		writes, reads := float64(after.Writes-before.Writes)/seconds, float64(after.Reads-before.Reads)/seconds
		t.Logf("%.1f writes/s, %.1f reads/s, %d pending watches", writes, reads, after.PendingWatches)
		if writes > 12 || reads > 10 || after.PendingWatches != 9 {
			t.Errorf("%.1f writes/s, %.1f reads/s, %d pending watches", writes, reads, after.PendingWatches)
		}
	})
}

// Guards against a hint from a peer after which the new view is not read while watches
// stall.
func TestHintTriggersNewListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell()
		defer c.close()
		n := c.start(c.server)
		time.Sleep(2 * time.Second)
		number := n.last().View.Number
		c.server.SetFaults(standin.Faults{StallWatches: true})
		if err := n.m.editView(t.Context(), func(v *model.View) bool {
			v.Predecessors = []string{"old"}
			return true
		}); err != nil {
			t.Fatal(err)
		}
		n.m.Hint(number + 1)
		time.Sleep(hintTimeout + 100*time.Millisecond)
		if got := n.last().View.Number; got != number+1 {
			t.Errorf("view %d, want %d", got, number+1)
		}
	})
}

// Guards against differences between the stand-in store in the process and over HTTP,
// and against goroutines that are still running after Run has returned.
func TestManagerOverHTTP(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := newCell()
	h := httptest.NewServer(c.server.Handler())
	defer h.Close()
	client := platform.NewHTTPClient(h.URL)
	defer client.Close()
	defer c.close()
	for range 3 {
		c.start(client)
	}
	for _, n := range c.nodes {
		for deadline := time.Now().Add(5 * time.Second); len(n.last().View.Members) != 3; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s has %+v", n.name, n.last())
			}
		}
	}
}

// Guards against members that are considered dead because the pages of a listing were
// read at different revisions, and against older states that replace newer ones.
func TestMultiPageListingWaitsForWatch(t *testing.T) {
	entry := func(version uint64, key string, v any) platform.Entry {
		return platform.Entry{Key: key, Value: encode(v), Version: version}
	}
	a, b := model.Member{Incarnation: "a"}, model.Member{Incarnation: "b"}
	memberA := entry(5, memberPrefix+"a", memberRecord{Member: a})
	memberB := entry(15, memberPrefix+"b", memberRecord{Member: b})
	first := entry(8, viewKey, model.View{Number: 1, Members: []model.Member{a}})
	second := entry(20, viewKey, model.View{Number: 2, Members: []model.Member{a, b}})
	c := newCluster()
	// The first page was read at revision 10, before b registered, the second at 20.
	c.apply(batch{entries: []platform.Entry{memberA, second}, revision: 10, fullListing: true, consistentFrom: 20})
	if v, differs := c.next(); differs {
		t.Errorf("before the watch has caught up: %+v", v)
	}
	c.apply(batch{entries: []platform.Entry{first}, revision: 12})
	c.apply(batch{entries: []platform.Entry{memberB, second}, revision: 20})
	if v, differs := c.next(); differs || c.view.Number != 2 {
		t.Errorf("after the watch has caught up: view %d, next %+v", c.view.Number, v)
	}
}

// Guards against a next view that loses an incarnation, lists it twice or differs again
// from the same members.
func TestNextViewListsEveryIncarnationOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := model.View{}
		members := map[string]memberRecord{}
		for i := range rapid.IntRange(0, 8).Draw(t, "incarnations") {
			r := memberRecord{Member: model.Member{Incarnation: fmt.Sprint(i)}, Leaving: rapid.Bool().Draw(t, "leaving")}
			if rapid.Bool().Draw(t, "registered") {
				members[r.Incarnation] = r
			}
			switch rapid.IntRange(0, 3).Draw(t, "place") {
			case 1:
				view.Members = append(view.Members, r.Member)
			case 2:
				view.Leaving = append(view.Leaving, r.Incarnation)
			case 3:
				view.Predecessors = append(view.Predecessors, r.Incarnation)
			}
		}
		next, _ := nextView(view, members)
		count := map[string]int{}
		for _, m := range next.Members {
			count[m.Incarnation]++
			if r, ok := members[m.Incarnation]; !ok || r.Leaving {
				t.Fatalf("%s is a member of %+v", m.Incarnation, next)
			}
		}
		for _, incarnation := range slices.Concat(next.Leaving, next.Predecessors) {
			count[incarnation]++
		}
		for i := range 8 {
			name := fmt.Sprint(i)
			r, registered := members[name]
			want := 0
			if inView(view, name) || (registered && !r.Leaving) {
				want = 1
			}
			if count[name] != want {
				t.Fatalf("%s is %d times in %+v, want %d; before: %+v", name, count[name], next, want, view)
			}
		}
		if again, differs := nextView(next, members); differs {
			t.Fatalf("%+v is followed by %+v", next, again)
		}
	})
}
