package pool

import "github.com/agateyard/agateyard/internal/model"

// usageEstimate is a moving average of the measured peak use of a task. It is used
// for predictions only; charges are based on declared sizes.
type usageEstimate struct {
	cores, memory, accelerators float64
	measured                    int
}

func (u *usageEstimate) add(m model.Resources) {
	if m.IsZero() {
		return
	}
	weight := meanWeight
	if u.measured == 0 {
		weight = 1
	}
	u.measured++
	u.cores += weight * (float64(m.CoresMilli) - u.cores)
	u.memory += weight * (float64(m.MemoryMB) - u.memory)
	u.accelerators += weight * (float64(m.Accelerators) - u.accelerators)
}

func (u *usageEstimate) resources() model.Resources {
	return model.Resources{
		CoresMilli:   int64(u.cores + 0.5),
		MemoryMB:     int64(u.memory + 0.5),
		Accelerators: int64(u.accelerators + 0.5),
	}
}
