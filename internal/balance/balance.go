// Package balance divides the demand of a shard owner over pools by their
// summaries, which may be stale. It performs no I/O.
package balance

import (
	"math/rand"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// chunks bounds the number of choices for one demand, so that the cost of a
// division doesn't grow with the number of waiting tasks.
const chunks = 16

// overask is the number of pools asked for a task that finds no free capacity
// anywhere. The first grant is used and later ones are returned. A third pool
// did not shorten waits in TestSplitWithStaleSummaries.
const overask = 2

// refutedAfter is the wait from which free capacity in summaries is taken as used up: it is longer than a statement
// and a grant take within a zone, 2 ms and two ways of 0.5 ms, even if one grant is returned.
const refutedAfter = 6 * time.Millisecond

// Split returns how many grants of the demand to ask of each pool.
//
// Pools of the zone come first, then the others, each by power of two choices
// on the free capacity. What finds no free capacity, or has waited for longer
// than free capacity would have taken, is asked of two pools each, chosen by
// their backlog, since either may become free first: one of the zone and one of
// another, since a slot granted to another zone stays idle for a longer round
// trip and a zone alone may be overloaded.
func Split(d model.Demand, pools []model.PoolSummary, zone string, now time.Time, rnd *rand.Rand) map[model.PoolID]int {
	out := make(map[model.PoolID]int)
	near, far := partition(d, pools, zone)
	left := d.Count
	if now.Sub(d.Oldest) <= refutedAfter {
		left = fill(left, near, rnd, out)
		left = fill(left, far, rnd, out)
	}
	if len(near) == 0 || len(far) == 0 {
		queue(left, overask, append(near, far...), rnd, out)
		return out
	}
	queue(left, 1, near, rnd, out)
	queue(left, overask-1, far, rnd, out)
	return out
}

// candidate is a pool that could run the demand.
type candidate struct {
	pool  model.PoolID
	units int     // grants that fit the free capacity and are not yet asked for
	load  float64 // waiting grants per grant of total capacity
	total int     // grants that fit the whole pool
}

func partition(d model.Demand, pools []model.PoolSummary, zone string) (near, far []candidate) {
	for _, p := range pools {
		if p.Endpoint == 0 || !d.Resources.Fits(p.Biggest) {
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
	per := d.Resources.Scale(int64(max(d.Tasks, 1)))
	c := candidate{pool: p.Pool, units: units(per, p.Free), total: units(per, p.Total)}
	if !d.Resources.Fits(p.Largest) {
		c.units = 0
	}
	if c.total > 0 {
		c.load = float64(p.Waiting) / float64(c.total)
	}
	return c
}

// units returns how many times per fits into free.
func units(per, free model.Resources) int {
	n := int64(1 << 30)
	for _, f := range [...][2]int64{
		{per.CoresMilli, free.CoresMilli},
		{per.MemoryMB, free.MemoryMB},
		{per.Accelerators, free.Accelerators},
		{per.Slots, free.Slots},
	} {
		if f[0] > 0 {
			n = min(n, max(f[1], 0)/f[0])
		}
	}
	return int(n)
}

// fill asks pools with free capacity and returns how many grants remain.
func fill(count int, cs []candidate, rnd *rand.Rand, out map[model.PoolID]int) int {
	var open []int
	for i := range cs {
		if cs[i].units > 0 {
			open = append(open, i)
		}
	}
	chunk := max(1, (count+chunks-1)/chunks)
	for count > 0 && len(open) > 0 {
		at := rnd.Intn(len(open))
		if other := rnd.Intn(len(open)); cs[open[other]].units > cs[open[at]].units {
			at = other
		}
		c := &cs[open[at]]
		n := min(chunk, count, c.units)
		out[c.pool] += n
		c.units -= n
		count -= n
		if c.units == 0 {
			open[at] = open[len(open)-1]
			open = open[:len(open)-1]
		}
	}
	return count
}

// queue asks for grants that wait for capacity to become free, each of up to
// ask different pools with a short backlog.
func queue(count, ask int, all []candidate, rnd *rand.Rand, out map[model.PoolID]int) {
	if count == 0 || len(all) == 0 {
		return
	}
	chunk := max(1, (count+chunks-1)/chunks)
	for count > 0 {
		n := min(chunk, count)
		for asked := range min(ask, len(all)) {
			// Asked pools move to the front, so that none is chosen twice.
			at := asked + lighter(all[asked:], rnd)
			all[asked], all[at] = all[at], all[asked]
			askMore(&all[asked], n, out)
		}
		count -= n
	}
}

func askMore(c *candidate, n int, out map[model.PoolID]int) {
	out[c.pool] += n
	c.load += float64(n) / float64(c.total)
}

// lighter returns the less loaded of two random candidates.
func lighter(cs []candidate, rnd *rand.Rand) int {
	a, b := rnd.Intn(len(cs)), rnd.Intn(len(cs))
	if cs[b].load < cs[a].load {
		return b
	}
	return a
}
