//go:build review

package main

import (
	"sync"
	"time"
)

// gangTimeout is gang-timeout-ms.
const gangTimeout = 3 * time.Second

// gangKey names a run of a gang.
type gangKey struct {
	job              string
	occurrence, step int
	run              int
}

type gangMember struct {
	runner *Runner
	run    *activeRun
}

type gang struct {
	members map[int]gangMember // by index
	working bool
}

// Gangs lets the members of gangs begin and end together. A call never takes the lock of a runner: what concerns other
// runners is done later.
type Gangs struct {
	mu  sync.Mutex
	all map[gangKey]*gang
}

// NewGangs returns an empty set.
func NewGangs() *Gangs { return &Gangs{all: map[gangKey]*gang{}} }

func keyOf(x *activeRun) (gangKey, int) {
	id, _ := parseTask(x.task)
	return gangKey{id.job, id.occurrence, id.step, x.run}, id.index
}

// joined adds a member. All begin to work once they are complete.
func (g *Gangs) joined(r *Runner, x *activeRun) {
	key, index := keyOf(x)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.all[key] == nil {
		g.all[key] = &gang{members: map[int]gangMember{}}
	}
	run := g.all[key]
	run.members[index] = gangMember{r, x}
	if len(run.members) < x.step.Count {
		time.AfterFunc(gangTimeout, func() { endLater(gangMember{r, x}, "alone", true) })
		return
	}
	run.working = true
	for _, m := range run.members {
		go func() {
			m.runner.mu.Lock()
			defer m.runner.mu.Unlock()
			if m.runner.runs[m.run.task] == m.run {
				m.run.begun = time.Now()
			}
		}()
		time.AfterFunc(x.step.Length, func() { endLater(m, "done", false) })
	}
}

// left removes a member whose run has ended. The others end as well.
func (g *Gangs) left(r *Runner, x *activeRun) {
	if !x.step.Gang {
		return
	}
	key, index := keyOf(x)
	g.mu.Lock()
	defer g.mu.Unlock()
	run := g.all[key]
	if run == nil || run.members[index].run != x {
		return
	}
	delete(run.members, index)
	if run.working && time.Since(x.begun) >= x.step.Length {
		return // all of them end done
	}
	for _, m := range run.members {
		time.AfterFunc(10*time.Millisecond, func() { endLater(m, "broken", false) })
	}
}

// endLater ends the run of a member, with waiting only if its gang has not begun.
func endLater(m gangMember, how string, waiting bool) {
	m.runner.mu.Lock()
	defer m.runner.mu.Unlock()
	if m.runner.runs[m.run.task] == m.run && (!waiting || m.run.begun.IsZero()) {
		m.runner.end(m.run, how)
	}
}
