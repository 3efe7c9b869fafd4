// Package balance distributes the demand of a shard owner over pools according to their
// summaries, which may be stale. It performs no I/O.
package balance

import (
	"math/rand"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// maxChunks is the largest number of chunks into which a demand is divided, so that the cost
// of distributing it does not grow with the number of waiting tasks. A chunk is divided
// further if a pool has less free capacity.
const maxChunks = 16

// poolsPerQueuedTask is the number of pools from which a grant is requested for a task that
// finds no free capacity anywhere. The first grant is used; a later one is bound to another
// task that waits, or returned. A third pool did not shorten waits in the model
// (TestSplitWithStaleSummaries with -model.all).
const poolsPerQueuedTask = 2

// staleFreeAfter is the wait after which free capacity in summaries is assumed to be in use
// already. It is longer than a demand report and a grant take within a zone, 2 ms and twice a
// network latency of 0.5 ms, even if one grant is returned.
const staleFreeAfter = 6 * time.Millisecond

// Split returns how many grants of the demand to request from each pool.
//
// Pools of the own zone are used first, then the others, each chosen by power of two choices
// on the free capacity. For tasks that find no free capacity, and for all tasks if the oldest
// has waited longer than a grant from free capacity would have taken, grants are requested
// from two pools each, chosen by their backlog, because either pool may become free first. If
// possible, one pool is in the own zone and the other in another zone: a slot granted to
// another zone stays idle for a longer round trip, and a single zone may be overloaded.
func Split(d model.Demand, pools []model.PoolSummary, zone string, now time.Time, rnd *rand.Rand) map[model.PoolID]int {
	out := make(map[model.PoolID]int)
	near, far := partition(d, pools, zone)
	left := d.Count
	if now.Sub(d.Oldest) <= staleFreeAfter {
		left = fillFree(left, near, rnd, out)
		left = fillFree(left, far, rnd, out)
	}
	if len(near) == 0 || len(far) == 0 {
		queue(left, poolsPerQueuedTask, append(near, far...), rnd, out)
		return out
	}
	queue(left, 1, near, rnd, out)
	queue(left, poolsPerQueuedTask-1, far, rnd, out)
	return out
}

// candidate is a pool that could run the demand.
type candidate struct {
	pool  model.PoolID
	units int     // grants that fit the free capacity and are not requested yet
	load  float64 // backlog: tasks that wait for a grant, per grant that fits the total capacity
	total int     // grants that fit the total capacity
}

func partition(d model.Demand, pools []model.PoolSummary, zone string) (near, far []candidate) {
	for _, p := range pools {
		if p.Endpoint == 0 || !d.Resources.Fits(p.Biggest) { // no endpoint accepts work, or none is large enough
			continue
		}
		c := newCandidate(d, p)
		if c.total == 0 {
			continue
		}
		if p.Pool.Zone() == zone {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	return near, far
}

func newCandidate(d model.Demand, p model.PoolSummary) candidate {
	need := d.Resources.Scale(int64(max(d.Tasks, 1)))
	c := candidate{pool: p.Pool, units: units(need, p.Free), total: units(need, p.Total)}
	if !d.Resources.Fits(p.Largest) { // no endpoint has enough free capacity for one task
		c.units = 0
	}
	if c.total > 0 {
		c.load = float64(p.Waiting) / float64(c.total)
	}
	return c
}

// units returns how many times need fits into capacity.
func units(need, capacity model.Resources) int {
	n := int64(1 << 30)
	for _, f := range [...][2]int64{
		{need.CoresMilli, capacity.CoresMilli},
		{need.MemoryMB, capacity.MemoryMB},
		{need.Accelerators, capacity.Accelerators},
		{need.Slots, capacity.Slots},
	} {
		if f[0] > 0 {
			n = min(n, max(f[1], 0)/f[0])
		}
	}
	return int(n)
}

// fillFree requests grants from pools with free capacity and returns how many grants remain to
// be requested.
func fillFree(count int, cs []candidate, rnd *rand.Rand, out map[model.PoolID]int) int {
	var nonFull []int
	for i := range cs {
		if cs[i].units > 0 {
			nonFull = append(nonFull, i)
		}
	}
	chunk := max(1, (count+maxChunks-1)/maxChunks)
	for count > 0 && len(nonFull) > 0 {
		at := rnd.Intn(len(nonFull))
		if other := rnd.Intn(len(nonFull)); cs[nonFull[other]].units > cs[nonFull[at]].units {
			at = other
		}
		c := &cs[nonFull[at]]
		n := min(chunk, count, c.units)
		out[c.pool] += n
		c.units -= n
		count -= n
		if c.units == 0 {
			nonFull[at] = nonFull[len(nonFull)-1]
			nonFull = nonFull[:len(nonFull)-1]
		}
	}
	return count
}

// queue requests grants that wait until capacity becomes free, each from up to poolsPerTask
// different pools with a short backlog.
func queue(count, poolsPerTask int, all []candidate, rnd *rand.Rand, out map[model.PoolID]int) {
	if count == 0 || len(all) == 0 {
		return
	}
	chunk := max(1, (count+maxChunks-1)/maxChunks)
	for count > 0 {
		n := min(chunk, count)
		for chosen := range min(poolsPerTask, len(all)) {
			// Chosen pools are moved to the front, so that none is chosen twice.
			at := chosen + lessLoaded(all[chosen:], rnd)
			all[chosen], all[at] = all[at], all[chosen]
			addGrants(&all[chosen], n, out)
		}
		count -= n
	}
}

func addGrants(c *candidate, n int, out map[model.PoolID]int) {
	out[c.pool] += n
	c.load += float64(n) / float64(c.total)
}

// lessLoaded returns the index of the less loaded of two random candidates.
func lessLoaded(cs []candidate, rnd *rand.Rand) int {
	a, b := rnd.Intn(len(cs)), rnd.Intn(len(cs))
	if cs[b].load < cs[a].load {
		return b
	}
	return a
}
