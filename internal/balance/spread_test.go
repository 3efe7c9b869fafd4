package balance

import (
	"math/rand"
	"testing"

	"github.com/agateyard/agateyard/internal/model"
	"pgregory.net/rapid"
)

// Guards against replicas of a service that share a pool or a zone while others have free
// capacity.
func TestSpreadUsesEveryZoneAndPoolOnce(t *testing.T) {
	var pools []model.PoolSummary
	for i, zone := range []string{"z0", "z0", "z1", "z1", "z2"} {
		pools = append(pools, summary(zone, i, 16, 16))
	}
	d := model.Demand{Resources: model.Resources{Slots: 1}, Tasks: 1, Count: 3}
	out := Spread(d, pools, rand.New(rand.NewSource(3)))
	zones := make(map[string]int)
	for id, n := range out {
		zones[id.Zone()] += n
	}
	if len(out) != 3 || len(zones) != 3 {
		t.Fatalf("pools %v, zones %v", out, zones)
	}
}

// Guards against gangs for which capacity is reserved on pools whose free capacity does not
// cover all their tasks.
func TestSplitGangCoversTheGangOrNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pools []model.PoolSummary
		capacity := 0
		for i := range rapid.IntRange(1, 6).Draw(t, "pools") {
			free := rapid.IntRange(0, 8).Draw(t, "free")
			capacity += free / 2
			pools = append(pools, summary("z0", i, free, 8))
		}
		d := model.Demand{Resources: model.Resources{Slots: 2}, Tasks: rapid.IntRange(1, 12).Draw(t, "tasks"), Count: 1}
		tasks := 0
		for _, p := range SplitGang(d, pools) {
			tasks += p.Tasks
		}
		if capacity >= d.Tasks && tasks != d.Tasks || capacity < d.Tasks && tasks != 0 {
			t.Fatalf("free capacity for %d tasks, gang of %d, got parts for %d", capacity, d.Tasks, tasks)
		}
	})
}
