package balance

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"pgregory.net/rapid"
)

func summary(zone string, n, free, total int) model.PoolSummary {
	return model.PoolSummary{
		Pool:     model.RunnerPool(fmt.Sprintf("s%d", n), zone),
		Total:    model.Resources{Slots: int64(total)},
		Free:     model.Resources{Slots: int64(free)},
		Largest:  model.Resources{Slots: int64(min(free, 8))},
		Biggest:  model.Resources{Slots: 8},
		Endpoint: total / 8,
	}
}

// Guards against tasks for which no grant is requested, which would wait forever, and against
// requests beyond the free capacity of a pool while others have free capacity.
func TestSplitRequestsEveryTask(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "pools")
		var pools []model.PoolSummary
		totalFree := 0
		for i := range n {
			free := rapid.IntRange(0, 80).Draw(t, "free")
			totalFree += free
			pools = append(pools, summary(fmt.Sprintf("z%d", i%3), i, free, 80))
		}
		d := model.Demand{Resources: model.Resources{Slots: 1}, Tasks: 1, Count: rapid.IntRange(1, 500).Draw(t, "count")}
		out := Split(d, pools, "z0", time.Time{}, rand.New(rand.NewSource(1)))
		requested := 0
		for _, c := range out {
			requested += c
		}
		if requested < d.Count {
			t.Fatalf("requested %d of %d grants", requested, d.Count)
		}
		for _, p := range pools {
			if d.Count <= totalFree && out[p.Pool] > int(p.Free.Slots) {
				t.Fatalf("requested %d grants of %s with %d free slots", out[p.Pool], p.Pool, p.Free.Slots)
			}
		}
	})
}

// Guards against paying for traffic between zones while the own zone has free capacity.
func TestSplitPrefersOwnZone(t *testing.T) {
	pools := []model.PoolSummary{summary("z0", 0, 10, 80), summary("z1", 1, 80, 80)}
	d := model.Demand{Resources: model.Resources{Slots: 1}, Tasks: 1, Count: 8}
	out := Split(d, pools, "z0", time.Time{}, rand.New(rand.NewSource(1)))
	if out[pools[0].Pool] != 8 || out[pools[1].Pool] != 0 {
		t.Fatalf("got %v", out)
	}
}

// Guards against demand sent to pools whose endpoints are all too small.
func TestSplitSkipsPoolsThatCanNeverRun(t *testing.T) {
	small := summary("z0", 0, 80, 80)
	small.Biggest = model.Resources{Slots: 1}
	d := model.Demand{Resources: model.Resources{Slots: 2}, Tasks: 1, Count: 3}
	if out := Split(d, []model.PoolSummary{small}, "z0", time.Time{}, rand.New(rand.NewSource(1))); len(out) != 0 {
		t.Fatalf("got %v", out)
	}
}

// Guards against tasks that wait for one zone only: without free capacity, grants for each
// task are requested from two different pools, one of them in the own zone if it has a pool.
func TestSplitRequestsTwoZonesWithoutFreeCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		near := rapid.IntRange(0, 4).Draw(t, "near")
		far := rapid.IntRange(0, 4).Draw(t, "far")
		d := model.Demand{Resources: model.Resources{Slots: 1}, Tasks: 1, Count: rapid.IntRange(1, 500).Draw(t, "count")}
		var pools []model.PoolSummary
		for i := range near + far {
			zone := "z0"
			if i >= near {
				zone = "z1"
			}
			pools = append(pools, summary(zone, i, 0, 80))
		}
		own, other := 0, 0
		for id, n := range Split(d, pools, "z0", time.Time{}, rand.New(rand.NewSource(1))) {
			if n > d.Count {
				t.Fatalf("requested %d grants of %s for %d tasks", n, id, d.Count)
			}
			if id.Zone() == "z0" {
				own += n
			} else {
				other += n
			}
		}
		if want := d.Count * min(2, near+far); own+other != want {
			t.Fatalf("requested %d grants, want %d", own+other, want)
		}
		if near > 0 && far > 0 && own != d.Count {
			t.Fatalf("requested %d grants in the own zone, %d in others", own, other)
		}
	})
}

// Guards against all owners of a zone waiting at its pool because a stale summary shows free
// capacity.
func TestSplitRequestsOtherZonesForWaitingWork(t *testing.T) {
	pools := []model.PoolSummary{summary("z0", 0, 8, 16), summary("z1", 0, 0, 16)}
	now := time.Unix(100, 0)
	d := model.Demand{Resources: model.Resources{Slots: 1}, Tasks: 1, Count: 3, Oldest: now.Add(-2 * staleFreeAfter)}
	out := Split(d, pools, "z0", now, rand.New(rand.NewSource(1)))
	for _, p := range pools {
		if out[p.Pool] != d.Count {
			t.Errorf("%s: %d grants requested, want %d", p.Pool, out[p.Pool], d.Count)
		}
	}
}
