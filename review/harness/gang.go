//go:build review

package main

import (
	"strings"
	"sync"
	"time"
)

// gangTimeout is gang-timeout-ms of the settings.
const gangTimeout = 3 * time.Second

// gangs lets the members of a gang work together: "the tasks work only together, starting from the moment when all tasks of one
// run are present, and they end done together". When a member ends otherwise, the others end broken.
type gangs struct {
	mu      sync.Mutex
	sizes   map[string]int // members by step (ID.K.STEP)
	members map[gangRun]map[string]*member
}

type gangRun struct {
	step string
	run  int
}

type member struct {
	r    *runner
	x    *taskRun
	born time.Time
}

func newGangs() *gangs {
	return &gangs{sizes: map[string]int{}, members: map[gangRun]map[string]*member{}}
}

func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

func (g *gangs) isGang(task string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sizes[stepOf(task)] > 0
}

// joined adds a member. The caller holds the mu of its runner.
func (g *gangs) joined(m *member, work time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangRun{stepOf(m.x.task), m.x.run}
	if g.members[key] == nil {
		g.members[key] = map[string]*member{}
	}
	g.members[key][m.x.task] = m
	if len(g.members[key]) < g.sizes[key.step] {
		m.x.timer = time.AfterFunc(gangTimeout, func() {
			g.mu.Lock()
			complete := len(g.members[key]) == g.sizes[key.step]
			g.mu.Unlock()
			if !complete {
				m.finish("alone")
			}
		})
		return
	}
	m.x.timer = time.AfterFunc(work, func() {
		g.mu.Lock()
		all := g.members[key]
		complete := len(all) == g.sizes[key.step]
		delete(g.members, key)
		g.mu.Unlock()
		if complete {
			for _, other := range all {
				other.finish("done")
			}
		}
	})
}

// left removes a member that has ended otherwise than done; the others end broken.
func (g *gangs) left(task string, run int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangRun{stepOf(task), run}
	all := g.members[key]
	if all[task] == nil {
		return
	}
	delete(all, task)
	others := make([]*member, 0, len(all))
	for _, m := range all {
		others = append(others, m)
	}
	delete(g.members, key)
	go func() {
		for _, m := range others {
			m.finish("broken")
		}
	}()
}

// finish ends a member's run on its runner if it still exists there.
func (m *member) finish(how string) {
	m.r.mu.Lock()
	defer m.r.mu.Unlock()
	if m.r.up && m.r.born.Equal(m.born) && m.r.runs[m.x.task] == m.x {
		m.r.end(m.x, how)
	}
}
