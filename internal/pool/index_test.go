package pool

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/agateyard/agateyard/internal/model"
)

// TestGridAgainstScan compares the grid with a linear scan. It guards against a
// grid that misses a fitting endpoint, returns one that doesn't fit, or uses an
// endpoint with more free accelerators than necessary.
func TestGridAgainstScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		least := rapid.Bool().Draw(t, "leastLoaded")
		scan := &scanIndex{leastLoaded: least}
		grid := newGridIndex(least, nil)
		grid.scale = model.Resources{CoresMilli: 64000, MemoryMB: 262144, Accelerators: 8, Slots: 8}
		size := func(label string) model.Resources {
			return model.Resources{
				CoresMilli:   rapid.Int64Range(0, 64000).Draw(t, label),
				MemoryMB:     rapid.Int64Range(0, 262144).Draw(t, label),
				Accelerators: rapid.Int64Range(0, 8).Draw(t, label),
				Slots:        rapid.Int64Range(0, 8).Draw(t, label),
			}
		}
		var all []*endpointState
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			e := newEndpointState(fmt.Sprint(len(all)))
			if len(all) > 8 {
				e = all[rapid.IntRange(0, len(all)-1).Draw(t, "endpoint")]
			} else {
				all = append(all, e)
			}
			e.capacity = grid.scale
			e.charged = size("charged")
			present := rapid.IntRange(0, 4).Draw(t, "present") > 0
			scan.update(e, present)
			grid.update(e, present)
			need := size("need")
			a, b := scan.best(need, &placeFilter{}), grid.best(need, &placeFilter{})
			if (a == nil) != (b == nil) {
				t.Fatalf("scan found %v, grid %v", a, b)
			}
			if b == nil {
				continue
			}
			if !need.Fits(b.free()) {
				t.Fatalf("%v does not fit %v", need, b.free())
			}
			if !least && a.free().Accelerators != b.free().Accelerators {
				t.Fatalf("grid chose more free accelerators than the scan: %v, scan %v", b.free(), a.free())
			}
		}
	})
}

// TestPlacement guards against CPU-only work on endpoints with accelerators,
// several replicas on one endpoint while others are free, partially placed gangs,
// and unevenly loaded runners.
func TestPlacement(t *testing.T) {
	t.Run("accelerators", func(t *testing.T) {
		p := newTestPool("worker/z/r")
		work := job("work", 5)
		setTemplates(p, work)
		p.AddEndpoint(epoch, "acc")
		p.HandleSessionReply(epoch, "acc", epoch, report(worker(4, 8, 4)))
		addEndpoints(p, 1, worker(16, 64, 0))
		p.SetDemand(at(0), "s", 1, []model.Demand{demand(work, 16, at(0))})
		for _, a := range p.Schedule(at(0)) {
			if a.Grant.Endpoints[0] == "acc" {
				t.Fatal("CPU-only work on the endpoint with accelerators")
			}
		}
	})
	t.Run("replicas", func(t *testing.T) {
		p := newTestPool("worker/z/r")
		service := job("service", 5)
		service.Kind = model.KindService
		setTemplates(p, service)
		addEndpoints(p, 4, worker(8, 64, 0))
		p.SetDemand(at(0), "s", 1, []model.Demand{demand(service, 5, at(0))})
		if n := used(p.Schedule(at(0))); n != 4 {
			t.Fatalf("5 replicas on %d of 4 endpoints", n)
		}
	})
	t.Run("gang", func(t *testing.T) {
		p := newTestPool("worker/z/r")
		gang := job("gang", 5)
		gang.Kind = model.KindGang
		setTemplates(p, gang)
		addEndpoints(p, 3, worker(2, 64, 0))
		d := demand(gang, 1, at(0))
		d.Tasks = 7
		p.SetDemand(at(0), "s", 1, []model.Demand{d})
		if n := len(p.Schedule(at(0))); n != 0 || p.free() != p.total() {
			t.Fatalf("%d grants for a gang that does not fit, free %v", n, p.free())
		}
		d.Tasks = 3
		p.SetDemand(at(0), "s", 2, []model.Demand{d})
		if n := used(p.Schedule(at(0))); n != 3 {
			t.Fatalf("gang of 3 on %d of 3 endpoints", n)
		}
	})
	t.Run("runners", func(t *testing.T) {
		p := newTestPool("runner/orders/z")
		r := request("r", 5, 1, 0)
		setTemplates(p, r)
		addEndpoints(p, 4, model.Resources{Slots: 8})
		p.SetDemand(at(0), "s", 1, []model.Demand{demand(r, 10, at(0))})
		p.Schedule(at(0))
		for _, e := range p.ordered {
			if e.charged.Slots < 2 || e.charged.Slots > 3 {
				t.Fatalf("%s has %d of 10 requests over 4 runners", e.id, e.charged.Slots)
			}
		}
	})
}

// used counts the distinct endpoints of the grants.
func used(list []AssignedGrant) int {
	seen := map[string]bool{}
	for _, a := range list {
		for _, e := range a.Grant.Endpoints {
			seen[e] = true
		}
	}
	return len(seen)
}
