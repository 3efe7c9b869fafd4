package shard

import (
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// capacity is the sum over the pools that can run a template.
type capacity struct {
	known   bool // some pool has reported an endpoint
	total   model.Resources
	free    model.Resources
	biggest model.Resources // greatest total of one endpoint, per field
}

// rate returns the starts per second of the class when the whole capacity serves it, or 0 when
// the run time is not known.
func (c capacity) rate(class sizeClass, run time.Duration) float64 {
	if run <= 0 {
		return 0
	}
	allFree := capacity{free: c.total}
	return float64(allFree.maxStarts(class)) / run.Seconds()
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

// feasible reports whether the class could ever run. It is assumed to be feasible while no
// endpoint is known.
func (c capacity) feasible(class sizeClass) bool {
	if !c.known {
		return true
	}
	return class.resources.Fits(c.biggest) && class.resources.Scale(int64(class.tasks)).Fits(c.total)
}

// maxStarts returns the largest number of grants of the class that the free capacity allows.
func (c capacity) maxStarts(class sizeClass) int {
	need := class.resources.Scale(int64(class.tasks))
	smallest := int64(-1)
	for _, f := range [...][2]int64{
		{need.CoresMilli, c.free.CoresMilli},
		{need.MemoryMB, c.free.MemoryMB},
		{need.Accelerators, c.free.Accelerators},
		{need.Slots, c.free.Slots},
	} {
		if f[0] <= 0 {
			continue
		}
		if n := max(0, f[1]/f[0]); smallest < 0 || n < smallest {
			smallest = n
		}
	}
	return int(max(0, smallest))
}
