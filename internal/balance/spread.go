package balance

import (
	"math/rand"

	"github.com/agateyard/agateyard/internal/model"
)

// Spread returns how many grants of a service to request from each pool: one at a time in
// random order, alternating between zones, so that the replicas of a service share neither
// rack nor zone while others have free capacity.
func Spread(d model.Demand, pools []model.PoolSummary, rnd *rand.Rand) map[model.PoolID]int {
	near, far := partition(d, pools, "")
	cs := append(near, far...)
	out := make(map[model.PoolID]int)
	if len(cs) == 0 {
		return out
	}
	order := alternateZones(cs, rnd)
	for left := d.Count; left > 0; {
		placed := 0
		for _, i := range order {
			if left > 0 && cs[i].units > 0 {
				cs[i].units--
				out[cs[i].pool]++
				placed++
				left--
			}
		}
		if placed == 0 {
			// No free capacity anywhere: wait at the pools in the same order.
			for n := range left {
				out[cs[order[n%len(order)]].pool]++
			}
			break
		}
	}
	return out
}

// alternateZones returns a random order of the candidates that alternates between zones.
func alternateZones(cs []candidate, rnd *rand.Rand) []int {
	byZone := make(map[string][]int)
	var zones []string
	for _, i := range rnd.Perm(len(cs)) {
		z := cs[i].pool.Zone()
		if byZone[z] == nil {
			zones = append(zones, z)
		}
		byZone[z] = append(byZone[z], i)
	}
	var order []int
	for len(order) < len(cs) {
		for _, z := range zones {
			if len(byZone[z]) > 0 {
				order = append(order, byZone[z][0])
				byZone[z] = byZone[z][1:]
			}
		}
	}
	return order
}

// FitsOnePool reports whether there is a pool that could ever run one grant of the demand: its
// total capacity covers the grant, and its largest endpoint covers one task.
func FitsOnePool(d model.Demand, pools []model.PoolSummary) bool {
	for _, p := range pools {
		if d.Resources.Fits(p.Biggest) && newCandidate(d, p).total > 0 {
			return true
		}
	}
	return false
}

// SplitGang returns the pools on which to reserve parts of a gang, with the number of tasks
// that the free capacity of each allows. The pools must be ordered by identifier, so that all
// shard owners reserve in the same order. It returns nil if the free capacity of all pools
// together is too small.
func SplitGang(d model.Demand, pools []model.PoolSummary) []GangPart {
	one := d
	one.Tasks = 1
	left := d.Tasks
	var out []GangPart
	for _, p := range pools {
		if !d.Resources.Fits(p.Largest) || left == 0 {
			continue
		}
		if n := min(left, newCandidate(one, p).units); n > 0 {
			out = append(out, GangPart{Pool: p.Pool, Tasks: n})
			left -= n
		}
	}
	if left > 0 {
		return nil
	}
	return out
}

// GangPart is the part of a gang that is to be reserved on one pool.
type GangPart struct {
	Pool  model.PoolID
	Tasks int
}
