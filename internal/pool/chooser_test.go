package pool

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// serverPool is a first-come queue with equal servers: the time at which each is free.
type serverPool []float64

func (s serverPool) Len() int           { return len(s) }
func (s serverPool) Less(i, j int) bool { return s[i] < s[j] }
func (s serverPool) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s serverPool) Push(any)           {}
func (s serverPool) Pop() any           { return nil }

// serve returns the wait of a request that arrives now.
func (s serverPool) serve(now, run float64) float64 {
	start := max(now, s[0])
	s[0] = start + run
	heap.Fix(s, 0)
	return start - now
}

// summary tells the slots in use and, as waiting, the work beyond them.
func (s serverPool) summary(i int, now, run float64) model.PoolSummary {
	total := model.Resources{Slots: int64(len(s))}
	out := model.PoolSummary{Pool: model.PoolID(fmt.Sprint(i)), Total: total, Biggest: model.Resources{Slots: 8}}
	for _, free := range s {
		if free <= now {
			out.Free.Slots++
		}
		out.Waiting += int(max(0, free-now-run) / run)
	}
	return out
}

// balance sends 100,000 requests of 9 shard owners to the pools and returns the
// waits. Summaries are up to 250 ms old.
func balance(how string, pools, slots int, load, run float64) []time.Duration {
	const gossip, owners, hedge = 250.0, 9, 10.0
	rnd := rand.New(rand.NewSource(testSeed))
	servers := make([]serverPool, pools)
	for i := range servers {
		servers[i] = make(serverPool, slots)
	}
	choosers := make([]*Chooser, owners)
	for i := range choosers {
		choosers[i] = NewChooser(rnd, owners)
	}
	expected := time.Duration(run * float64(time.Millisecond))
	now, told := 0.0, -gossip
	var waits []time.Duration
	for range 100_000 {
		now += rnd.ExpFloat64() * run / (load * float64(pools*slots))
		clock := at(time.Duration(now * float64(time.Millisecond)))
		if now-told >= gossip {
			told = now
			for i, s := range servers {
				for _, c := range choosers {
					c.Update(clock, s.summary(i, now, run))
				}
			}
		}
		to, other := rnd.Intn(pools), rnd.Intn(pools)
		if how != "one at random" && how != "full knowledge" {
			name, _ := choosers[rnd.Intn(owners)].Choose(clock, model.Resources{Slots: 1}, expected)
			fmt.Sscan(string(name), &to)
		}
		switch how {
		case "two choices, second pool after 10 ms":
			if max(now+hedge, servers[other][0]) < servers[to][0] {
				to = other
			}
		case "full knowledge":
			for i, s := range servers {
				if s[0] < servers[to][0] {
					to = i
				}
			}
		}
		waits = append(waits, time.Duration(servers[to].serve(now, run*rnd.ExpFloat64())*float64(time.Millisecond)))
	}
	return waits
}

// TestChooser guards against demand that piles up on a few pools because
// summaries are stale: two choices must not do worse than one at random, and
// better where work runs for long.
func TestChooser(t *testing.T) {
	for _, c := range []struct {
		pools, slots int
		load, run    float64
	}{{4, 100, 0.9, 40}, {36, 64, 0.8, 40}, {36, 64, 0.95, 40}, {36, 64, 0.9, 400}, {36, 64, 0.9, 4000}} {
		p99 := map[string]time.Duration{}
		for _, how := range []string{
			"one at random", "two choices", "two choices, second pool after 10 ms", "full knowledge",
		} {
			waits := balance(how, c.pools, c.slots, c.load, c.run)
			p99[how] = quantile(waits, 0.99)
			t.Logf("%d pools of %d slots, load %.2f, run %v ms, %s: wait p90 %v, p99 %v", c.pools, c.slots, c.load, c.run, how,
				quantile(waits, 0.9).Round(100*time.Microsecond), p99[how].Round(100*time.Microsecond))
		}
		if p99["two choices"] > p99["one at random"] {
			t.Errorf("two choices wait %v, one at random %v", p99["two choices"], p99["one at random"])
		}
	}
}
