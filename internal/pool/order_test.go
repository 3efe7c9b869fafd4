package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// TestOrder guards against scheduling in the wrong order: urgency, then the
// workspace's weighted share, then the template's share, then age.
func TestOrder(t *testing.T) {
	urgent, lowUrgency := job("urgent", 9), job("lesser", 1)
	sabra := job("sabra", 5)
	sabra.ID.Workspace = "sabra"
	sabra.Weight = 2
	kalnins, narrow := job("kalnins", 5), job("narrow", 5)
	narrow.FloodShare = 0.5
	for _, c := range []struct {
		name   string
		demand []model.Demand
		want   map[string]int // of 6 grants
	}{
		{"urgency before age", []model.Demand{demand(lowUrgency, 9, at(0)), demand(urgent, 4, at(time.Second))}, map[string]int{"urgent": 4, "lesser": 2}},
		{"weights of workspaces", []model.Demand{demand(kalnins, 9, at(0)), demand(sabra, 9, at(time.Second))}, map[string]int{"kalnins": 2, "sabra": 4}},
		{"shares of templates", []model.Demand{demand(narrow, 9, at(0)), demand(kalnins, 9, at(0))}, map[string]int{"kalnins": 4, "narrow": 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPool("worker/z/r")
			setTemplates(p, urgent, lowUrgency, sabra, kalnins, narrow)
			addEndpoints(p, 1, worker(6, 64, 0))
			p.SetDemand(at(2*time.Second), "s", 1, c.demand)
			got := byTemplate(p.Schedule(at(2 * time.Second)))
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Fatalf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestOrderByAge guards against grants to a shard owner with younger jobs before
// one with older jobs.
func TestOrderByAge(t *testing.T) {
	p := newTestPool("worker/z/r")
	work := job("work", 5)
	setTemplates(p, work)
	addEndpoints(p, 1, worker(4, 64, 0))
	p.SetDemand(at(2*time.Second), "young", 1, []model.Demand{demand(work, 4, at(1900*time.Millisecond))})
	p.SetDemand(at(2*time.Second), "old", 1, []model.Demand{demand(work, 4, at(0))})
	got := map[string]int{}
	for _, a := range p.Schedule(at(2 * time.Second)) {
		got[a.To]++
	}
	if got["old"] != 4 {
		t.Fatalf("got %v", got)
	}
}

// TestDemandIsAbsolute guards against two grants for the same job: after an older
// demand message that arrives late, and while earlier grants are outstanding.
func TestDemandIsAbsolute(t *testing.T) {
	p := newTestPool("worker/z/r")
	work := job("work", 5)
	setTemplates(p, work)
	addEndpoints(p, 1, worker(16, 64, 0))
	p.SetDemand(at(0), "s", 2, []model.Demand{demand(work, 3, at(0))})
	p.SetDemand(at(0), "s", 1, []model.Demand{demand(work, 9, at(0))})
	first := p.Schedule(at(0))
	p.SetDemand(at(0), "s", 3, []model.Demand{demand(work, 3, at(0))})
	if again := p.Schedule(at(0)); len(first) != 3 || len(again) != 0 {
		t.Fatalf("got %d and %d grants for 3 jobs", len(first), len(again))
	}
	// Expired grants free the capacity, and the shard owner gets no more before its next demand message.
	p.Tick(at(1100 * time.Millisecond))
	if n := len(p.Schedule(at(1100 * time.Millisecond))); n != 0 || p.free() != p.total() {
		t.Fatalf("%d grants to a shard owner that let its grants expire, free %v", n, p.free())
	}
	if _, err := p.StartAttempts(at(1200*time.Millisecond), first[0].Grant.ID, []model.AttemptID{attemptID(1)}); err == nil {
		t.Fatal("an expired grant was used")
	}
	p.SetDemand(at(1300*time.Millisecond), "s", 4, []model.Demand{demand(work, 1, at(0))})
	if n := len(p.Schedule(at(1300 * time.Millisecond))); n != 1 {
		t.Fatalf("got %d grants after a new demand message, want 1", n)
	}
}
