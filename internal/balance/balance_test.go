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

// Guards against tasks that no pool is asked for, which would wait for ever,
// and against asking a pool beyond its free capacity while others have room.
func TestSplitAsksForEveryTask(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "pools")
		var pools []model.PoolSummary
		room := 0
		for i := range n {
			free := rapid.IntRange(0, 80).Draw(t, "free")
			room += free
			pools = append(pools, summary(fmt.Sprintf("z%d", i%3), i, free, 80))
		}
		d := model.Demand{Resources: model.Resources{Slots: 1}, Tasks: 1, Count: rapid.IntRange(1, 500).Draw(t, "count")}
		out := Split(d, pools, "z0", time.Time{}, rand.New(rand.NewSource(1)))
		asked := 0
		for _, c := range out {
			asked += c
		}
		if asked < d.Count {
			t.Fatalf("asked %d of %d", asked, d.Count)
		}
		for _, p := range pools {
			if d.Count <= room && out[p.Pool] > int(p.Free.Slots) {
				t.Fatalf("asked %d of %s with %d free", out[p.Pool], p.Pool, p.Free.Slots)
			}
		}
	})
}

// Guards against paying for links between zones while the own zone has room.
func TestSplitPrefersOwnZone(t *testing.T) {
	pools := []model.PoolSummary{summary("z0", 0, 10, 80), summary("z1", 1, 80, 80)}
	d := model.Demand{Resources: model.Resources{Slots: 1}, Tasks: 1, Count: 8}
	out := Split(d, pools, "z0", time.Time{}, rand.New(rand.NewSource(1)))
	if out[pools[0].Pool] != 8 || out[pools[1].Pool] != 0 {
		t.Fatalf("got %v", out)
	}
}

// Guards against demand for pools whose endpoints are all too small.
func TestSplitSkipsPoolsThatCanNeverRun(t *testing.T) {
	small := summary("z0", 0, 80, 80)
	small.Biggest = model.Resources{Slots: 1}
	d := model.Demand{Resources: model.Resources{Slots: 2}, Tasks: 1, Count: 3}
	if out := Split(d, []model.PoolSummary{small}, "z0", time.Time{}, rand.New(rand.NewSource(1))); len(out) != 0 {
		t.Fatalf("got %v", out)
	}
}

// Guards against tasks that wait for one zone only: without free capacity each
// task is asked of two different pools, one of the own zone where there is one.
func TestSplitAsksTwoZonesWithoutFreeCapacity(t *testing.T) {
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
				t.Fatalf("asked %d of %s for %d tasks", n, id, d.Count)
			}
			if id.Zone() == "z0" {
				own += n
			} else {
				other += n
			}
		}
		if want := d.Count * min(2, near+far); own+other != want {
			t.Fatalf("asked for %d, want %d", own+other, want)
		}
		if near > 0 && far > 0 && own != d.Count {
			t.Fatalf("asked %d of the own zone, %d of others", own, other)
		}
	})
}

// Guards against owners of a zone that all wait at its pool because a stale
// summary says that it has free capacity.
func TestSplitAsksElsewhereForWorkThatWaits(t *testing.T) {
	pools := []model.PoolSummary{summary("z0", 0, 8, 16), summary("z1", 0, 0, 16)}
	now := time.Unix(100, 0)
	d := model.Demand{Resources: model.Resources{Slots: 1}, Tasks: 1, Count: 3, Oldest: now.Add(-2 * refutedAfter)}
	out := Split(d, pools, "z0", now, rand.New(rand.NewSource(1)))
	for _, p := range pools {
		if out[p.Pool] != d.Count {
			t.Errorf("%s: %d grants asked, want %d", p.Pool, out[p.Pool], d.Count)
		}
	}
}
