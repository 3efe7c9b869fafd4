package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"

	"github.com/agateyard/agateyard/internal/model"
)

// Times of the model are in milliseconds.
const (
	modelOwners   = 9
	modelZones    = 3
	modelGossip   = 250.0
	modelInterval = 2.0 // least time between two statements
	modelRequests = 20_000
	modelSeed     = 20261203
)

type modelEvent struct {
	at  float64
	seq int
	run func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int { return len(e) }
func (e modelEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// modelCase is a cell with its load.
type modelCase struct {
	pools, slots int
	load, run    float64
}

// modelCell is a cell of shard owners and pools that serve requests of one slot.
type modelCell struct {
	modelCase
	policy             modelPolicy
	now                float64
	seq                int
	events             modelEvents
	rnd                *rand.Rand
	pools              []*modelPool
	owners             []*modelOwner
	waits              []float64
	arrived            int
	granted, unclaimed int
}

// modelShare is the demand of one shard owner at a pool.
type modelShare struct {
	count, outstanding int
	oldest, told       float64
}

func (s *modelShare) wanted() int { return max(0, s.count-s.outstanding) }

func (s *modelShare) age() float64 {
	return s.oldest + (s.told-s.oldest)*float64(s.outstanding)/float64(s.count)
}

type modelPool struct {
	cell    *modelCell
	id      model.PoolID
	at      int // index among the pools; its zone is at modulo the zones
	charged int // slots granted or in use
	shares  [modelOwners]modelShare
}

func (p *modelPool) summary() model.PoolSummary {
	free := p.cell.slots - p.charged
	s := summary("", 0, free, p.cell.slots)
	s.Pool = p.id
	for i := range p.shares {
		s.Waiting += p.shares[i].wanted()
	}
	return s
}

// grant issues grants while slots are free, to the owner with the oldest request first.
func (p *modelPool) grant() {
	for p.charged < p.cell.slots {
		best := -1
		for i := range p.shares {
			if p.shares[i].wanted() > 0 && (best < 0 || p.shares[i].age() < p.shares[best].age()) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		p.charged++
		p.shares[best].outstanding++
		o := p.cell.owners[best]
		p.cell.after(o.delay(p), func() { o.take(p) })
	}
}

// settle ends a grant of an owner that was used or returned.
func (p *modelPool) settle(o *modelOwner) {
	s := &p.shares[o.at]
	s.outstanding = max(0, s.outstanding-1)
	s.count = max(0, s.count-1)
}

func (p *modelPool) release() {
	p.charged--
	p.grant()
}

type modelOwner struct {
	cell    *modelCell
	at      int
	queue   []float64 // arrivals
	told    []model.PoolSummary
	toldAt  float64
	sentAt  float64
	due     bool
	stated  map[model.PoolID]bool
	busy    []bool // a statement to the pool is in flight
	waiting []*modelShare
}

// delay returns the time of one way to the pool's owner. The owner of a pool is
// a member of its zone; owner and pool of equal index share a process.
func (o *modelOwner) delay(p *modelPool) float64 {
	switch {
	case o.at == p.at%modelOwners:
		return 0
	case o.at%modelZones == p.at%modelZones:
		return 0.5
	}
	return 4.5
}

func (o *modelOwner) gossip() {
	for i, p := range o.cell.pools {
		o.told[i] = p.summary()
	}
	o.toldAt = o.cell.now
	o.change()
	o.cell.after(modelGossip, o.gossip)
}

// change states the demand anew as soon as the interval allows.
func (o *modelOwner) change() {
	if o.due || len(o.queue) == 0 && len(o.stated) == 0 {
		return
	}
	o.due = true
	o.cell.after(max(0, o.sentAt+modelInterval-o.cell.now), o.state)
}

func (o *modelOwner) state() {
	o.due = false
	o.sentAt = o.cell.now
	counts := map[model.PoolID]int{}
	if len(o.queue) > 0 {
		counts = o.cell.policy(o, o.summaries(false))
	}
	for i, p := range o.cell.pools {
		n := counts[p.id]
		if n == 0 && !o.stated[p.id] {
			continue
		}
		delete(o.stated, p.id)
		share := &modelShare{count: n, told: o.cell.now}
		if n > 0 {
			o.stated[p.id] = true
			share.oldest = o.queue[0]
		}
		o.waiting[i] = share
		o.send(p)
	}
}

// summaries returns what is known of the pools: of the own ones the present state.
func (o *modelOwner) summaries(exact bool) []model.PoolSummary {
	out := slices.Clone(o.told)
	for i, p := range o.cell.pools {
		if exact || p.at%modelOwners == o.at {
			out[i] = p.summary()
		}
	}
	return out
}

// send states demand to a pool, one message in flight.
func (o *modelOwner) send(p *modelPool) {
	share := o.waiting[p.at]
	if o.busy[p.at] || share == nil {
		return
	}
	o.busy[p.at], o.waiting[p.at] = true, nil
	o.cell.after(o.delay(p), func() {
		share.outstanding = p.shares[o.at].outstanding
		p.shares[o.at] = *share
		p.grant()
		o.cell.after(o.delay(p), func() {
			o.busy[p.at] = false
			o.send(p)
		})
	})
}

// take binds the oldest request to a grant or returns the grant.
func (o *modelOwner) take(p *modelPool) {
	c := o.cell
	c.granted++
	if len(o.queue) == 0 {
		c.unclaimed++
		c.after(o.delay(p), func() { p.settle(o); p.release() })
		return
	}
	arrival := o.queue[0]
	o.queue = o.queue[1:]
	o.change()
	c.after(o.delay(p), func() {
		p.settle(o)
		c.waits = append(c.waits, c.now-arrival)
		c.after(c.run*c.rnd.ExpFloat64(), p.release)
	})
}

func (c *modelCell) after(d float64, run func()) {
	c.seq++
	heap.Push(&c.events, modelEvent{c.now + d, c.seq, run})
}

func (c *modelCell) arrive() {
	if c.arrived++; c.arrived > modelRequests {
		return
	}
	o := c.owners[c.rnd.Intn(modelOwners)]
	o.queue = append(o.queue, c.now)
	o.change()
	c.after(c.rnd.ExpFloat64()*c.run/(c.load*float64(c.modelCase.pools*c.slots)), c.arrive)
}

// modelResult holds waits in milliseconds and the share of grants not used.
type modelResult struct{ p50, p99, returned float64 }

func (m modelCase) measure(policy modelPolicy) modelResult {
	c := &modelCell{modelCase: m, policy: policy, rnd: rand.New(rand.NewSource(modelSeed))}
	for i := range m.pools {
		id := model.RunnerPool(fmt.Sprintf("s%d", i), fmt.Sprintf("z%d", i%modelZones))
		c.pools = append(c.pools, &modelPool{cell: c, id: id, at: i})
	}
	for i := range modelOwners {
		o := &modelOwner{cell: c, at: i, stated: map[model.PoolID]bool{}}
		o.told, o.busy, o.waiting = make([]model.PoolSummary, m.pools), make([]bool, m.pools), make([]*modelShare, m.pools)
		c.owners = append(c.owners, o)
		o.gossip()
	}
	for i := range c.owners {
		// Owners learn summaries at different times.
		c.events[i].at = modelGossip * float64(i) / modelOwners
	}
	heap.Init(&c.events)
	c.after(0, c.arrive)
	for len(c.waits) < modelRequests {
		e := heap.Pop(&c.events).(modelEvent)
		c.now = e.at
		e.run()
	}
	late := c.waits[modelRequests/5:] // the cell starts empty
	slices.Sort(late)
	at := func(q float64) float64 { return late[int(q*float64(len(late)-1))] }
	return modelResult{at(0.5), at(0.99), float64(c.unclaimed) / float64(c.granted)}
}

// modelPolicy divides the demand of an owner.
type modelPolicy func(o *modelOwner, s []model.PoolSummary) map[model.PoolID]int

func (o *modelOwner) demand() model.Demand {
	return model.Demand{Resources: model.Resources{Slots: 1}, Tasks: 1, Count: len(o.queue)}
}

func (o *modelOwner) zone() string { return fmt.Sprintf("z%d", o.at%modelZones) }

// asking is Split with another number of pools asked for a task without free
// capacity; a task that waits for less than delay is asked of one.
func asking(pools int, delay float64) modelPolicy {
	return func(o *modelOwner, s []model.PoolSummary) map[model.PoolID]int {
		out := map[model.PoolID]int{}
		near, far := partition(o.demand(), s, o.zone())
		left := fill(fill(len(o.queue), near, o.cell.rnd, out), far, o.cell.rnd, out)
		old := 0
		for old < left && o.queue[old] <= o.cell.now-delay {
			old++
		}
		all := append(near, far...)
		queue(old, pools, all, o.cell.rnd, out)
		queue(left-old, 1, all, o.cell.rnd, out)
		return out
	}
}

// fading is Split with summaries that count for less the older they are
// compared to the run time: what they tell fades to an empty or to a full pool.
func fading(full bool) modelPolicy {
	return func(o *modelOwner, s []model.PoolSummary) map[model.PoolID]int {
		weight := math.Exp(-(o.cell.now - o.toldAt) / o.cell.run)
		for i := range s {
			if i%modelOwners == o.at {
				continue
			}
			rest := float64(s[i].Total.Slots)
			if full {
				rest = 0
			}
			s[i].Free.Slots = int64(weight*float64(s[i].Free.Slots) + (1-weight)*rest)
			s[i].Largest.Slots = min(8, s[i].Free.Slots)
			s[i].Waiting = int(weight * float64(s[i].Waiting))
		}
		return splitModel(o, s)
	}
}

func splitModel(o *modelOwner, s []model.PoolSummary) map[model.PoolID]int {
	return Split(o.demand(), s, o.zone(), o.cell.rnd)
}

func fullKnowledge(o *modelOwner, _ []model.PoolSummary) map[model.PoolID]int {
	return splitModel(o, o.summaries(true))
}

func oneAtRandom(o *modelOwner, s []model.PoolSummary) map[model.PoolID]int {
	out := map[model.PoolID]int{}
	for range o.queue {
		out[s[o.cell.rnd.Intn(len(s))].Pool]++
	}
	return out
}

// Guards against demand that piles up on a few pools because summaries are
// stale: Split must not do worse than one pool at random.
func TestSplitWithStaleSummaries(t *testing.T) {
	policies := []struct {
		name   string
		policy modelPolicy
	}{
		{"one at random", oneAtRandom},
		{"split", splitModel},
		{"fade to empty", fading(false)},
		{"fade to full", fading(true)},
		{"second after 10 ms", asking(2, 10)},
		{"three pools", asking(3, 0)},
		{"full knowledge", fullKnowledge},
	}
	for _, c := range []modelCase{
		{3, 128, 0.7, 40},
		{3, 128, 0.9, 40},
		{3, 128, 0.97, 40},
		{36, 16, 0.7, 40},
		{36, 16, 0.9, 40},
		{36, 16, 0.97, 40},
		{36, 16, 0.9, 400},
		{36, 16, 0.97, 400},
		{36, 16, 0.9, 4000},
		{36, 16, 0.97, 4000},
	} {
		t.Run(fmt.Sprintf("%d pools of %d, load %.2f, run %.0f ms", c.pools, c.slots, c.load, c.run), func(t *testing.T) {
			t.Parallel()
			p99 := map[string]float64{}
			for _, p := range policies {
				r := c.measure(p.policy)
				p99[p.name] = r.p99
				t.Logf("%-18s p50 %7.1f ms, p99 %7.1f ms, returned %.2f", p.name, r.p50, r.p99, r.returned)
			}
			if p99["split"] > p99["one at random"] {
				t.Errorf("split waits %.1f ms, one at random %.1f ms", p99["split"], p99["one at random"])
			}
		})
	}
}
