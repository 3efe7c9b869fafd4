package pool

import (
	"strings"

	"github.com/agateyard/agateyard/internal/model"
)

func isRunnerPool(id model.PoolID) bool {
	return strings.HasPrefix(string(id), "runner/")
}

// maxResources returns the maximum of each field.
func maxResources(a, b model.Resources) model.Resources {
	return model.Resources{
		CoresMilli:   max(a.CoresMilli, b.CoresMilli),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
		Slots:        max(a.Slots, b.Slots),
	}
}

// minResources returns the minimum of each field.
func minResources(a, b model.Resources) model.Resources {
	return model.Resources{
		CoresMilli:   min(a.CoresMilli, b.CoresMilli),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
		Slots:        min(a.Slots, b.Slots),
	}
}

// scaleResources returns r times f, rounded down.
func scaleResources(r model.Resources, f float64) model.Resources {
	return model.Resources{
		CoresMilli:   int64(float64(r.CoresMilli) * f),
		MemoryMB:     int64(float64(r.MemoryMB) * f),
		Accelerators: int64(float64(r.Accelerators) * f),
		Slots:        int64(float64(r.Slots) * f),
	}
}

// maskUnrequested returns r without the resources that need doesn't request.
func maskUnrequested(r, need model.Resources) model.Resources {
	if need.CoresMilli == 0 {
		r.CoresMilli = 0
	}
	if need.MemoryMB == 0 {
		r.MemoryMB = 0
	}
	if need.Accelerators == 0 {
		r.Accelerators = 0
	}
	if need.Slots == 0 {
		r.Slots = 0
	}
	return r
}

// tasksThatFit returns how many tasks of the given size fit into the capacity.
func tasksThatFit(need, capacity model.Resources) int {
	n := int64(1 << 30)
	for _, f := range [...][2]int64{
		{need.CoresMilli, capacity.CoresMilli},
		{need.MemoryMB, capacity.MemoryMB},
		{need.Accelerators, capacity.Accelerators},
		{need.Slots, capacity.Slots},
	} {
		if f[0] > 0 {
			n = min(n, max(0, f[1])/f[0])
		}
	}
	return int(n)
}
