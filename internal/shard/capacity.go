package shard

import (
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// capacity is what the pools that can run a template have in sum.
type capacity struct {
	known   bool // some pool has reported an endpoint
	total   model.Resources
	free    model.Resources
	biggest model.Resources // greatest total of one endpoint, per field
}

// rate returns the starts per second of the class when the whole capacity serves
// it, or 0 when the run time is not known.
func (c capacity) rate(want class, run time.Duration) float64 {
	if run <= 0 {
		return 0
	}
	whole := capacity{free: c.total}
	return float64(whole.starts(want)) / run.Seconds()
}

// capacityOf sums the pools with the prefix.
func capacityOf(pools []model.PoolSummary, prefix string) capacity {
	var c capacity
	for i := range pools {
		p := &pools[i]
		if p.Endpoint == 0 || !strings.HasPrefix(string(p.Pool), prefix) {
			continue
		}
		c.known = true
		c.total = c.total.Add(p.Total)
		c.free = c.free.Add(p.Free)
		c.biggest = maxResources(c.biggest, p.Biggest)
	}
	return c
}

func maxResources(a, b model.Resources) model.Resources {
	return model.Resources{
		CoresMilli:   max(a.CoresMilli, b.CoresMilli),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
		Slots:        max(a.Slots, b.Slots),
	}
}

// feasible reports whether the class could ever run. Without a known endpoint
// it is assumed that it can.
func (c capacity) feasible(want class) bool {
	if !c.known {
		return true
	}
	return want.resources.Fits(c.biggest) && want.resources.Scale(int64(want.tasks)).Fits(c.total)
}

// starts returns how many grants of the class the free capacity allows at most.
func (c capacity) starts(want class) int {
	need := want.resources.Scale(int64(want.tasks))
	least := int64(-1)
	for _, f := range [...][2]int64{
		{need.CoresMilli, c.free.CoresMilli},
		{need.MemoryMB, c.free.MemoryMB},
		{need.Accelerators, c.free.Accelerators},
		{need.Slots, c.free.Slots},
	} {
		if f[0] <= 0 {
			continue
		}
		if n := max(0, f[1]/f[0]); least < 0 || n < least {
			least = n
		}
	}
	return int(max(0, least))
}
