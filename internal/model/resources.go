package model

// Resources is an amount of capacity of a worker or a runner. Every field is an
// integer, so that sums are exact.
type Resources struct {
	CoresMilli   int64 `json:"cores_milli,omitempty"`  // millicores
	MemoryMB     int64 `json:"memory_mb,omitempty"`    // mebibytes
	Accelerators int64 `json:"accelerators,omitempty"` // whole devices
	Slots        int64 `json:"slots,omitempty"`        // concurrent requests of a runner
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		CoresMilli:   r.CoresMilli + o.CoresMilli,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
	}
}

// Sub returns r minus o. Fields may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		CoresMilli:   r.CoresMilli - o.CoresMilli,
		MemoryMB:     r.MemoryMB - o.MemoryMB,
		Accelerators: r.Accelerators - o.Accelerators,
		Slots:        r.Slots - o.Slots,
	}
}

// Scale returns r times n.
func (r Resources) Scale(n int64) Resources {
	return Resources{
		CoresMilli:   r.CoresMilli * n,
		MemoryMB:     r.MemoryMB * n,
		Accelerators: r.Accelerators * n,
		Slots:        r.Slots * n,
	}
}

// Min returns the smaller amount of each resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		CoresMilli:   min(r.CoresMilli, o.CoresMilli),
		MemoryMB:     min(r.MemoryMB, o.MemoryMB),
		Accelerators: min(r.Accelerators, o.Accelerators),
		Slots:        min(r.Slots, o.Slots),
	}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		CoresMilli:   max(r.CoresMilli, o.CoresMilli),
		MemoryMB:     max(r.MemoryMB, o.MemoryMB),
		Accelerators: max(r.Accelerators, o.Accelerators),
		Slots:        max(r.Slots, o.Slots),
	}
}

// Fits reports whether r is at most free in every field.
func (r Resources) Fits(free Resources) bool {
	return r.CoresMilli <= free.CoresMilli &&
		r.MemoryMB <= free.MemoryMB &&
		r.Accelerators <= free.Accelerators &&
		r.Slots <= free.Slots
}

// Copies returns how many times r fits into free, at most limit.
func (r Resources) Copies(free Resources, limit int) int {
	n := int64(limit)
	for _, f := range [...][2]int64{
		{r.CoresMilli, free.CoresMilli},
		{r.MemoryMB, free.MemoryMB},
		{r.Accelerators, free.Accelerators},
		{r.Slots, free.Slots},
	} {
		if need, available := f[0], f[1]; need > 0 {
			n = min(n, max(available, 0)/need)
		}
	}
	return int(n)
}

// IsZero reports whether every field is zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// DominantShare returns the largest ratio of r to total over all fields, or 0 if none is positive.
// It is above 1 if r exceeds total. Fields in which total is zero are ignored.
func (r Resources) DominantShare(total Resources) float64 {
	var share float64
	for _, f := range [...][2]int64{
		{r.CoresMilli, total.CoresMilli},
		{r.MemoryMB, total.MemoryMB},
		{r.Accelerators, total.Accelerators},
		{r.Slots, total.Slots},
	} {
		if f[1] <= 0 {
			continue
		}
		share = max(share, float64(f[0])/float64(f[1]))
	}
	return share
}
