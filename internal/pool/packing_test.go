package pool

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// packTask is a task of a packing trace.
type packTask struct {
	size model.Resources
	run  time.Duration
	from time.Time
}

// packTrace is a backlog of tasks on a fleet, more than the fleet can hold.
// Awkward sizes are odd amounts of cores and memory in 60 kinds, up to half of
// a worker, so that memory and cores run short at about the same time.
func packTrace(rnd *rand.Rand, awkward bool) ([]model.Resources, []packTask) {
	var fleet []model.Resources
	for i := range 50 {
		c := worker(32, 64, 0)
		if i%18 < 5 {
			c = worker(64, 256, 8)
		}
		fleet = append(fleet, c)
	}
	kinds := make([]model.Resources, 60)
	for i := range kinds {
		kinds[i] = model.Resources{CoresMilli: 300 + rnd.Int63n(16_000), MemoryMB: 500 + rnd.Int63n(41_000)}
		if i%10 == 0 {
			kinds[i].Accelerators = 1 + rnd.Int63n(5)
		}
		if !awkward {
			kinds[i] = randomTask(rnd)
		}
	}
	tasks := make([]packTask, 6000)
	for i := range tasks {
		run := time.Duration(200+rnd.Intn(4000)) * time.Millisecond
		tasks[i] = packTask{kinds[rnd.Intn(len(kinds))], run, epoch.Add(time.Duration(i-len(tasks)) * 5 * time.Millisecond)}
	}
	return fleet, tasks
}

// scarcest returns the greatest allocated share over the resources.
func scarcest(used, total model.Resources) float64 {
	return used.DominantShare(total)
}

// offlinePacking packs the waiting tasks best fit, largest first, on an empty
// fleet and returns the share of the scarcest resource: what an offline packer
// that may choose among everything that waits attains.
func offlinePacking(fleet []model.Resources, waiting []model.Resources) float64 {
	tasks := slices.Clone(waiting)
	total := model.Resources{}
	free := &scanIndex{}
	for i, c := range fleet {
		total = total.Add(c)
		e := newEndpointState(fmt.Sprint(i))
		e.capacity = c
		free.update(e, true)
	}
	slices.SortStableFunc(tasks, func(a, b model.Resources) int {
		sa, sb := a.DominantShare(total), b.DominantShare(total)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		}
		return 0
	})
	var used model.Resources
	for _, t := range tasks {
		if e := free.best(t, &placeFilter{}); e != nil {
			e.charged = e.charged.Add(t)
			used = used.Add(t)
		}
	}
	return scarcest(used, total)
}

// onlinePacking runs the trace through the pool and returns the mean share of
// the scarcest resource while a queue waits, after the first 2 s, and the mean
// of the offline bound over what ran and waited at the same times.
func onlinePacking(t *testing.T, fleet []model.Resources, tasks []packTask) (online, offline float64) {
	p := newTestPool("worker/z/r")
	work := job("work", 5)
	setTemplates(p, work)
	for i, c := range fleet {
		name := fmt.Sprintf("e%04d", i)
		p.AddEndpoint(epoch, name)
		p.Report(epoch, name, epoch, report(c))
	}
	waiting := map[model.Resources][]packTask{}
	for _, task := range tasks {
		waiting[task.size] = append(waiting[task.size], task)
	}
	ends := map[model.AttemptID]time.Time{}
	var next, seq uint64
	samples := 0
	for d := time.Duration(0); ; d += 50 * time.Millisecond {
		now := at(d)
		for _, a := range sortedKeys(ends) {
			if !ends[a].After(now) {
				p.settle(now, p.attempts[a], model.Settled{Attempt: a, End: model.AttemptEnded, RunMS: 1})
				delete(ends, a)
			}
		}
		left := 0
		var list []model.Demand
		for _, size := range sortedSizes(waiting) {
			left += len(waiting[size])
			list = append(list, model.Demand{Template: work.ID, Resources: size, Tasks: 1, Count: len(waiting[size]), Oldest: oldestOf(waiting[size])})
		}
		if left < 1500 {
			return online / float64(samples), offline / float64(samples)
		}
		seq++
		p.SetDemand(now, "s", seq, list)
		for _, a := range p.Schedule(now) {
			size := a.Grant.Resources
			task := waiting[size][0]
			waiting[size] = waiting[size][1:]
			next++
			if _, err := p.Begin(now, a.Grant.ID, []model.AttemptID{attemptID(next)}); err != nil {
				t.Fatal(err)
			}
			p.Finished(now, attemptID(next), StartResult{Kind: StartAccepted})
			ends[attemptID(next)] = now.Add(task.run)
		}
		p.Tick(now)
		for _, e := range p.ordered {
			e.leaseUntil = now.Add(time.Minute)
		}
		if d >= 2*time.Second && int(d/time.Millisecond)%1000 == 0 {
			samples++
			online += scarcest(p.total().Sub(p.free()), p.total())
			var all []model.Resources
			for _, a := range p.attempts {
				all = append(all, a.resources)
			}
			for size, w := range waiting {
				for range w {
					all = append(all, size)
				}
			}
			offline += offlinePacking(fleet, all)
		}
	}
}

func sortedSizes(m map[model.Resources][]packTask) []model.Resources {
	out := make([]model.Resources, 0, len(m))
	for size := range m {
		out = append(out, size)
	}
	slices.SortFunc(out, func(a, b model.Resources) int {
		return int(math.Copysign(1, float64((a.CoresMilli*1e6+a.MemoryMB)*16+a.Accelerators-(b.CoresMilli*1e6+b.MemoryMB)*16-b.Accelerators)))
	})
	return out
}

// TestPacking guards against placement that leaves workers idle while a queue
// waits: the scarcest resource must be allocated to within 5% of what best fit
// decreasing attains offline.
func TestPacking(t *testing.T) {
	for i := range 6 {
		rnd := rand.New(rand.NewSource(testSeed + int64(i)))
		awkward := i%2 == 1
		fleet, tasks := packTrace(rnd, awkward)
		online, offline := onlinePacking(t, fleet, tasks)
		t.Logf("seed %d, awkward sizes %v: online %.4f, offline %.4f, ratio %.4f", testSeed+i, awkward, online, offline, online/offline)
		if online < 0.95*offline {
			t.Errorf("packing %.4f, offline %.4f", online, offline)
		}
	}
}

func oldestOf(tasks []packTask) time.Time {
	if len(tasks) == 0 {
		return epoch
	}
	return tasks[0].from
}
