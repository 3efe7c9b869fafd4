// Package fairshare divides a capacity between tenants: weighted max-min fair shares, accounts of what each tenant was
// owed and has used, and token buckets of arrivals. It performs no I/O; time is passed in.
package fairshare

import "github.com/agateyard/agateyard/internal/model"

// Demand is what one tenant requests.
type Demand struct {
	Weight float64
	Amount model.Resources // requested in all, running or waiting
}

const (
	resourceCount = 3
	// epsilon is the share below which a remaining amount counts as used up, which bounds the rounding of sums.
	epsilon = 1e-9
)

// Shares returns the fair share of each tenant, as its dominant share of the capacity. No share exceeds what its tenant
// requests, and no tenant can get more without taking from one that has less in relation to its weight. Demands with a
// weight of 0 get nothing.
func Shares(capacity model.Resources, demands []Demand) []float64 {
	total := amounts(capacity)
	shares := make([]float64, len(demands))
	perShare := make([][resourceCount]float64, len(demands)) // use of each resource for one unit of dominant share
	dominant := make([]float64, len(demands))
	active := make([]bool, len(demands))
	for i, d := range demands {
		wanted := amounts(d.Amount)
		for r := range total {
			if total[r] > 0 {
				perShare[i][r] = wanted[r] / total[r]
				dominant[i] = max(dominant[i], perShare[i][r])
			}
		}
		active[i] = dominant[i] > 0 && d.Weight > 0
		if active[i] {
			for r := range perShare[i] {
				perShare[i][r] /= dominant[i]
			}
		}
	}
	left := [resourceCount]float64{1, 1, 1}
	for {
		step, any := fillStep(demands, active, perShare, shares, dominant, left)
		if !any {
			return shares
		}
		for i, d := range demands {
			if !active[i] {
				continue
			}
			shares[i] += d.Weight * step
			for r := range left {
				left[r] -= d.Weight * step * perShare[i][r]
			}
		}
		for i := range demands {
			active[i] = active[i] && shares[i] < dominant[i]-epsilon && !usesExhausted(perShare[i], left)
		}
	}
}

// fillStep returns by how much the shares of the active tenants may grow, for each unit of weight, until the first of them
// has what it requests or a resource is used up.
func fillStep(demands []Demand, active []bool, perShare [][resourceCount]float64, shares, dominant []float64, left [resourceCount]float64) (step float64, any bool) {
	var growth [resourceCount]float64
	for i, d := range demands {
		if !active[i] {
			continue
		}
		if room := (dominant[i] - shares[i]) / d.Weight; !any || room < step {
			step = room
		}
		any = true
		for r := range growth {
			growth[r] += d.Weight * perShare[i][r]
		}
	}
	for r := range growth {
		if growth[r] > 0 {
			step = min(step, max(left[r], 0)/growth[r])
		}
	}
	return step, any
}

func usesExhausted(use, left [resourceCount]float64) bool {
	for r := range use {
		if use[r] > 0 && left[r] <= epsilon {
			return true
		}
	}
	return false
}

func amounts(r model.Resources) [resourceCount]float64 {
	return [resourceCount]float64{float64(r.CoresMilli), float64(r.MemoryMB), float64(r.Accelerators)}
}
