package pool

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"

	"github.com/agateyard/agateyard/internal/model"
)

// fields returns the amounts that pools are ranked by.
func fields(r model.Resources) [3]float64 {
	return [3]float64{float64(r.CoresMilli), float64(r.MemoryMB), float64(r.Accelerators)}
}

// score is the minimum over the needed resources of how many times the pool has the need.
func score(has, need model.Resources) float64 {
	h, n := fields(has), fields(need)
	out := math.Inf(1)
	for i := range n {
		if n[i] > 0 {
			out = min(out, h[i]/n[i])
		}
	}
	return out
}

// threshold returns the k pools with the greatest scores from the lists sorted
// by each resource, and the number of list entries read.
func threshold(summaries []model.Resources, lists [3][]int, need model.Resources, k int) (top []int, reads int) {
	n := fields(need)
	seen := map[int]bool{}
	for depth := range summaries {
		bound := math.Inf(1)
		for r := range n {
			if n[r] == 0 {
				continue
			}
			at := lists[r][depth]
			reads++
			bound = min(bound, fields(summaries[at])[r]/n[r])
			if !seen[at] {
				seen[at] = true
				top = append(top, at)
			}
		}
		slices.SortStableFunc(top, func(a, b int) int {
			return -cmpFloat(score(summaries[a], need), score(summaries[b], need))
		})
		top = top[:min(len(top), k)]
		if len(top) == k && score(summaries[top[k-1]], need) >= bound {
			break
		}
	}
	return top, reads
}

func cmpFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// TestStudyThreshold compares the pool visits until a gang or large job finds
// room: pools in order of free capacity, the same without pools whose summary
// shows too little, and in order of the minimum over resources.
func TestStudyThreshold(t *testing.T) {
	const pools, workers = 1000, 8
	rnd := rand.New(rand.NewSource(testSeed))
	for _, gang := range []bool{false, true} {
		for _, fill := range []float64{0.7, 0.9} {
			visits := map[string][]int{}
			reads, found := 0, 0
			for range 200 {
				free := make([][]model.Resources, pools)
				summaries := make([]model.Resources, pools) // Largest for a job, Free for a gang
				total := make([]model.Resources, pools)
				for i := range free {
					for range workers {
						full := worker(64, 256, 0)
						if rnd.Intn(18) < 5 {
							full.Accelerators = 8
						}
						f := model.Resources{ // cores and memory run out independently
							CoresMilli:   int64(float64(full.CoresMilli) * (1 - fill) * 2 * rnd.Float64()),
							MemoryMB:     int64(float64(full.MemoryMB) * (1 - fill) * 2 * rnd.Float64()),
							Accelerators: int64(float64(full.Accelerators) * (1 - fill) * 2 * rnd.Float64()),
						}
						free[i] = append(free[i], f)
						total[i] = total[i].Add(f)
						summaries[i] = maxResources(summaries[i], f)
					}
					if gang {
						summaries[i] = total[i]
					}
					// Since the summary a worker of every fourth pool was filled.
					if rnd.Intn(4) == 0 {
						free[i][rnd.Intn(workers)] = model.Resources{}
					}
				}
				need, tasks := model.Resources{CoresMilli: 10_000, MemoryMB: 40_000, Accelerators: 1}, 1
				if gang {
					need, tasks = model.Resources{CoresMilli: 3000, MemoryMB: 12_000}, 8
				}
				whole := need.Scale(int64(tasks))
				var lists [3][]int
				for r := range lists {
					lists[r] = orderBy(pools, func(i int) float64 { return fields(summaries[i])[r] })
				}
				byFree := orderBy(pools, func(i int) float64 { return total[i].DominantShare(worker(64*workers, 256*workers, 8*workers)) })
				var fitting []int
				for _, i := range byFree {
					if whole.Fits(summaries[i]) {
						fitting = append(fitting, i)
					}
				}
				byMin := orderBy(pools, func(i int) float64 { return score(summaries[i], whole) })
				top, n := threshold(summaries, lists, whole, 8)
				reads += n
				for how, order := range map[string][]int{"free": byFree, "free, fitting": fitting, "minimum, full scan": byMin, "threshold, top 8": top} {
					n, ok := visitsUntilRoom(order, free, need, tasks)
					if ok {
						found++
						visits[how] = append(visits[how], n)
					}
				}
			}
			for _, how := range sortedKeys(visits) {
				v := slices.Sorted(slices.Values(visits[how]))
				sum := 0
				for _, n := range v {
					sum += n
				}
				t.Log(fmt.Sprintf("gang %v, fill %.2f, %s: found in %d of 200, visits mean %.2f, p99 %d; threshold reads %.0f of %d entries",
					gang, fill, how, len(v), float64(sum)/float64(len(v)), v[len(v)*99/100], float64(reads)/200, 3*pools))
			}
		}
	}
}

func orderBy(n int, key func(int) float64) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(a, b int) int { return -cmpFloat(key(a), key(b)) })
	return out
}

// visitsUntilRoom asks the pools in order; each places all tasks or none.
func visitsUntilRoom(order []int, free [][]model.Resources, need model.Resources, tasks int) (int, bool) {
	for n, i := range order {
		room := 0
		for _, f := range free[i] {
			room += copies(need, f)
		}
		if room >= tasks {
			return n + 1, true
		}
	}
	return len(order), false
}
