package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// placementsOf returns placements with the given counts, by slowness.
func placementsOf(slowness []float64, counts []int) []gangPlacement {
	out := make([]gangPlacement, len(slowness))
	for i := range out {
		out[i] = gangPlacement{runner: &runner{RunnerInfo: RunnerInfo{ID: fmt.Sprint(i)}, slowness: slowness[i]}, count: counts[i]}
	}
	return out
}

// TestPackBySpeed guards against gangs that end with one slow member while runners of like speed are free, as on the
// deployment Adwenpa (speeds of 0.6, 1.0 and 1.6).
func TestPackBySpeed(t *testing.T) {
	const fast, usual, slow = -0.47, 0, 0.51
	for _, c := range []struct {
		name     string
		slowness []float64
		counts   []int
		members  int
		want     []string // identifiers, nil if the gang doesn't fit
	}{
		{"fast runners suffice", []float64{slow, usual, fast, fast}, []int{3, 3, 3, 3}, 6, []string{"2", "3"}},
		{"runners of like speed rather than a mixture", []float64{fast, usual, usual}, []int{3, 3, 3}, 6, []string{"1", "2"}},
		{"slow runners rather than no start", []float64{slow, slow}, []int{3, 3}, 6, []string{"0", "1"}},
		{"few runners", []float64{usual, usual, usual}, []int{1, 3, 3}, 6, []string{"1", "2"}},
		{"no capacity", []float64{fast, slow}, []int{3, 3}, 7, nil},
		{"nothing known of the speeds", []float64{0, 0}, []int{3, 3}, 6, []string{"0", "1"}},
	} {
		var got []string
		for _, p := range packBySpeed(placementsOf(c.slowness, c.counts), c.members) {
			got = append(got, p.runner.ID)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: runners %v, want %v", c.name, got, c.want)
		}
	}
}

// TestPackBySpeedHoldsAllMembers guards against a gang that starts later because of the speed of runners: it fits exactly
// if it fits without regard to speed. Also no set of runners has a faster slowest one.
func TestPackBySpeedHoldsAllMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 12).Draw(t, "runners")
		slowness := rapid.SliceOfN(rapid.Float64Range(-2, 2), n, n).Draw(t, "slowness")
		counts := rapid.SliceOfN(rapid.IntRange(1, 4), n, n).Draw(t, "counts")
		members := rapid.IntRange(1, 20).Draw(t, "members")
		total := 0
		for _, c := range counts {
			total += c
		}
		placed, slowest := 0, 0
		chosen := packBySpeed(placementsOf(slowness, counts), members)
		for _, p := range chosen {
			placed += p.count
			slowest = max(slowest, bucketOf(p.runner.slowness))
		}
		if total < members {
			if chosen != nil {
				t.Fatalf("%d members placed on runners for %d", members, total)
			}
			return
		}
		if placed != members {
			t.Fatalf("%d of %d members placed", placed, members)
		}
		faster := 0
		for i, c := range counts {
			if bucketOf(slowness[i]) < slowest {
				faster += c
			}
		}
		if faster >= members {
			t.Fatalf("faster runners have capacity for %d of %d members", faster, members)
		}
	})
}
