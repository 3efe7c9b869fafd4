package scheduler

import (
	"cmp"
	"slices"
)

// packBySpeed returns the placements for a number of members whose slowest runner is as fast as possible, as a gang ends
// with its slowest member. Among the runners that are no slower, those of about that speed come first, as faster ones would
// wait for it, and then those with capacity for the most members. It returns nil if not all members fit, however slow the
// runners are.
func packBySpeed(placements []gangPlacement, members int) []gangPlacement {
	slices.SortStableFunc(placements, func(x, y gangPlacement) int {
		return cmp.Compare(bucketOf(x.runner.slowness), bucketOf(y.runner.slowness))
	})
	end, capacity := 0, 0
	for end < len(placements) && capacity < members {
		capacity += placements[end].count
		end++
	}
	if capacity < members {
		return nil
	}
	slowest := bucketOf(placements[end-1].runner.slowness)
	for end < len(placements) && bucketOf(placements[end].runner.slowness) == slowest {
		end++
	}
	usable := placements[:end]
	slices.SortStableFunc(usable, func(x, y gangPlacement) int {
		return cmp.Or(cmp.Compare(bucketOf(y.runner.slowness), bucketOf(x.runner.slowness)), cmp.Compare(y.count, x.count))
	})
	return takeMembers(usable, members)
}

// soundPlacements returns a copy of the placements without those on suspect runners.
func soundPlacements(placements []gangPlacement) []gangPlacement {
	return slices.DeleteFunc(slices.Clone(placements), func(p gangPlacement) bool { return p.suspect })
}

// takeMembers returns the first placements that hold all members; nil if not all fit.
func takeMembers(placements []gangPlacement, members int) []gangPlacement {
	for i := range placements {
		placements[i].count = min(placements[i].count, members)
		members -= placements[i].count
		if members == 0 {
			return placements[:i+1]
		}
	}
	return nil
}

// fastestOptions returns the options of preemption on the fastest runners that hold all members, in the given order.
func fastestOptions(options []preemption, members int) []preemption {
	var held [speedBuckets]int
	for _, o := range options {
		held[bucketOf(o.placement.runner.slowness)] += o.placement.count
	}
	slowest, capacity := 0, held[0]
	for capacity < members && slowest < speedBuckets-1 {
		slowest++
		capacity += held[slowest]
	}
	return slices.DeleteFunc(slices.Clone(options), func(o preemption) bool {
		return bucketOf(o.placement.runner.slowness) > slowest
	})
}
