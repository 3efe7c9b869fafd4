package balance

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Times in the model are in milliseconds.
const (
	modelOwners   = 9
	modelZones    = 3
	modelGossip   = 250.0 // time between two receptions of the summaries
	modelInterval = 2.0   // minimum time between two demand reports
	modelRequests = 10_000
	modelSeed     = 20261203
)

// The figures in docs/design.md come from -model.all -model.seeds 16.
var (
	modelAll   = flag.Bool("model.all", false, "measure all policies of the model")
	modelSeeds = flag.Int("model.seeds", 4, "runs of each case of the model")
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

// modelCase describes a cell and its load.
type modelCase struct {
	pools, slots  int
	load, meanRun float64 // share of the total capacity, 0 to 1; mean run time in ms
	skew          float64 // share of requests that arrive in the first zone; 0 for an even distribution
}

// modelCell is a cell of shard owners and pools that serve requests of one slot each.
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
	oldest, reportedAt float64
}

func (s *modelShare) unfilled() int { return max(0, s.count-s.outstanding) }

// oldestUnfilled estimates the arrival of the oldest request without a grant: the arrivals are
// taken as evenly spread.
func (s *modelShare) oldestUnfilled() float64 {
	return s.oldest + (s.reportedAt-s.oldest)*float64(s.outstanding)/float64(s.count)
}

type modelPool struct {
	cell    *modelCell
	id      model.PoolID
	at      int // index among the pools; its zone is at modulo modelZones
	charged int // slots granted or in use
	shares  [modelOwners]modelShare
}

func (p *modelPool) summary() model.PoolSummary {
	free := p.cell.slots - p.charged
	s := summary("", 0, free, p.cell.slots)
	s.Pool = p.id
	for i := range p.shares {
		s.Waiting += p.shares[i].unfilled()
	}
	return s
}

// grant issues grants while slots are free, first to the owner with the oldest request.
func (p *modelPool) grant() {
	for p.charged < p.cell.slots {
		best := -1
		for i := range p.shares {
			if p.shares[i].unfilled() > 0 && (best < 0 || p.shares[i].oldestUnfilled() < p.shares[best].oldestUnfilled()) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		p.charged++
		p.shares[best].outstanding++
		o := p.cell.owners[best]
		p.cell.after(o.delay(p), func() { o.useGrant(p) })
	}
}

// settle completes a grant that an owner used or returned.
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
	cell             *modelCell
	at               int
	queue            []float64 // arrivals
	summariesKnown   []model.PoolSummary
	summariesKnownAt float64
	sentAt           float64
	reportDue        bool
	reported         map[model.PoolID]bool
	inFlight         []bool // a demand report to the pool is in flight
	pending          []*modelShare
}

// delay returns the one-way network latency between the shard owner and the process that owns
// the pool. Pool i is owned by the process of shard owner i modulo modelOwners, which is in the
// zone of the pool, because modelOwners is a multiple of modelZones.
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
		o.summariesKnown[i] = p.summary()
	}
	o.summariesKnownAt = o.cell.now
	o.scheduleReport()
	o.cell.after(modelGossip, o.gossip)
}

// scheduleReport reports the demand again as soon as the minimum interval allows.
func (o *modelOwner) scheduleReport() {
	if o.reportDue || len(o.queue) == 0 && len(o.reported) == 0 {
		return
	}
	o.reportDue = true
	o.cell.after(max(0, o.sentAt+modelInterval-o.cell.now), o.reportDemand)
}

func (o *modelOwner) reportDemand() {
	o.reportDue = false
	o.sentAt = o.cell.now
	counts := map[model.PoolID]int{}
	if len(o.queue) > 0 {
		counts = o.cell.policy(o, o.summaries(false))
	}
	for i, p := range o.cell.pools {
		n := counts[p.id]
		if n == 0 && !o.reported[p.id] {
			continue
		}
		delete(o.reported, p.id)
		share := &modelShare{count: n, reportedAt: o.cell.now}
		if n > 0 {
			o.reported[p.id] = true
			share.oldest = o.queue[0]
		}
		o.pending[i] = share
		o.send(p)
	}
}

// summaries returns the known summaries; those of the owner's own pools, or all if exact is
// set, are current.
func (o *modelOwner) summaries(exact bool) []model.PoolSummary {
	out := slices.Clone(o.summariesKnown)
	for i, p := range o.cell.pools {
		if exact || p.at%modelOwners == o.at {
			out[i] = p.summary()
		}
	}
	return out
}

// send reports demand to a pool, with one message in flight at a time.
func (o *modelOwner) send(p *modelPool) {
	share := o.pending[p.at]
	if o.inFlight[p.at] || share == nil {
		return
	}
	o.inFlight[p.at], o.pending[p.at] = true, nil
	o.cell.after(o.delay(p), func() {
		share.outstanding = p.shares[o.at].outstanding
		p.shares[o.at] = *share
		p.grant()
		o.cell.after(o.delay(p), func() {
			o.inFlight[p.at] = false
			o.send(p)
		})
	})
}

// useGrant binds the oldest request to a grant, or returns the grant if no request is queued.
func (o *modelOwner) useGrant(p *modelPool) {
	c := o.cell
	c.granted++
	if len(o.queue) == 0 {
		c.unclaimed++
		c.after(o.delay(p), func() { p.settle(o); p.release() })
		return
	}
	arrival := o.queue[0]
	o.queue = o.queue[1:]
	o.scheduleReport()
	c.after(o.delay(p), func() {
		p.settle(o)
		c.waits = append(c.waits, c.now-arrival)
		c.after(c.meanRun*c.rnd.ExpFloat64(), p.release)
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
	if c.skew > 0 {
		zone := 0
		if c.rnd.Float64() >= c.skew {
			zone = 1 + c.rnd.Intn(modelZones-1)
		}
		o = c.owners[zone+modelZones*c.rnd.Intn(modelOwners/modelZones)]
	}
	o.queue = append(o.queue, c.now)
	o.scheduleReport()
	c.after(c.rnd.ExpFloat64()*c.meanRun/(c.load*float64(c.modelCase.pools*c.slots)), c.arrive)
}

// modelResult holds waits in milliseconds as means over the seeds, the standard error of p99
// and the share of returned grants.
type modelResult struct{ p50, p99, p99Error, returned float64 }

// measure runs the case with the given number of seeds.
func (m modelCase) measure(policy modelPolicy, seeds int) modelResult {
	var r modelResult
	squares, n := 0.0, float64(seeds)
	for seed := range seeds {
		c := newModelCell(m, policy, modelSeed+int64(seed))
		for len(c.waits) < modelRequests {
			e := heap.Pop(&c.events).(modelEvent)
			c.now = e.at
			e.run()
		}
		waits := c.waits[modelRequests/5:] // the first fifth is left out, because the cell starts empty
		slices.Sort(waits)
		p99 := waits[len(waits)*99/100]
		r.p50 += waits[len(waits)/2] / n
		r.p99 += p99 / n
		squares += p99 * p99 / n
		r.returned += float64(c.unclaimed) / float64(c.granted) / n
	}
	r.p99Error = math.Sqrt(max(0, squares-r.p99*r.p99) / max(1, n-1))
	return r
}

func newModelCell(m modelCase, policy modelPolicy, seed int64) *modelCell {
	c := &modelCell{modelCase: m, policy: policy, rnd: rand.New(rand.NewSource(seed))}
	for i := range m.pools {
		id := model.RunnerPool(fmt.Sprintf("s%d", i), fmt.Sprintf("z%d", i%modelZones))
		c.pools = append(c.pools, &modelPool{cell: c, id: id, at: i})
	}
	for i := range modelOwners {
		o := &modelOwner{cell: c, at: i, reported: map[model.PoolID]bool{}}
		o.summariesKnown, o.inFlight, o.pending = make([]model.PoolSummary, m.pools), make([]bool, m.pools), make([]*modelShare, m.pools)
		for j, p := range c.pools {
			o.summariesKnown[j] = p.summary()
		}
		c.owners = append(c.owners, o)
		// Owners receive summaries at different times.
		c.after(modelGossip*float64(i)/modelOwners, o.gossip)
	}
	c.after(0, c.arrive)
	return c
}

// modelPolicy distributes the demand of an owner over the pools.
type modelPolicy func(o *modelOwner, s []model.PoolSummary) map[model.PoolID]int

func (o *modelOwner) demand() model.Demand {
	return model.Demand{Resources: model.Resources{Slots: 1}, Tasks: 1, Count: len(o.queue), Oldest: modelTime(o.queue[0])}
}

// modelTime converts a model time to a time.Time.
func modelTime(ms float64) time.Time {
	return time.Unix(0, int64(ms*float64(time.Millisecond)))
}

func (o *modelOwner) zone() string { return fmt.Sprintf("z%d", o.at%modelZones) }

// modelVariant is a variation of Split that requests grants for tasks without free capacity
// from pools of any zone.
type modelVariant struct {
	weight       func(o *modelOwner) float64 // how far the summaries of other owners' pools are believed, 0 to 1; nil for 1
	fadeToFree   bool                        // the part that is not believed counts as free capacity, else as used
	poolsPerTask int                         // pools requested for a task that finds no free capacity
	delay        float64                     // wait after which poolsPerTask pools are used, before that one; ms
}

// byRunTime is a weight that decays exponentially with the age of the summaries relative to the
// mean run time.
func byRunTime(o *modelOwner) float64 {
	return math.Exp(-(o.cell.now - o.summariesKnownAt) / o.cell.meanRun)
}

func (v modelVariant) split(o *modelOwner, s []model.PoolSummary) map[model.PoolID]int {
	if v.weight != nil {
		v.fade(o, s)
	}
	out := map[model.PoolID]int{}
	near, far := partition(o.demand(), s, o.zone())
	left := fillFree(fillFree(len(o.queue), near, o.cell.rnd, out), far, o.cell.rnd, out)
	old := 0
	for old < left && o.queue[old] <= o.cell.now-v.delay {
		old++
	}
	all := append(near, far...)
	queue(old, v.poolsPerTask, all, o.cell.rnd, out)
	queue(left-old, 1, all, o.cell.rnd, out)
	return out
}

func (v modelVariant) fade(o *modelOwner, s []model.PoolSummary) {
	weight := v.weight(o)
	for i := range s {
		if i%modelOwners == o.at {
			continue
		}
		rest := 0.0
		if v.fadeToFree {
			rest = float64(s[i].Total.Slots)
			s[i].Waiting = int(weight * float64(s[i].Waiting))
		}
		s[i].Free.Slots = int64(weight*float64(s[i].Free.Slots) + (1-weight)*rest)
		s[i].Largest.Slots = min(8, s[i].Free.Slots)
	}
}

func splitModel(o *modelOwner, s []model.PoolSummary) map[model.PoolID]int {
	return Split(o.demand(), s, o.zone(), modelTime(o.cell.now), o.cell.rnd)
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

// modelPolicies lists the policies; the first two are compared in every run.
var modelPolicies = []struct {
	name   string
	policy modelPolicy
}{
	{"one at random", oneAtRandom},
	{"split", splitModel},
	{"two anywhere", modelVariant{poolsPerTask: 2}.split},
	{"second after 10 ms", modelVariant{poolsPerTask: 2, delay: 10}.split},
	{"three anywhere", modelVariant{poolsPerTask: 3}.split},
	{"fade to empty", modelVariant{weight: byRunTime, fadeToFree: true, poolsPerTask: 2}.split},
	{"fade to full", modelVariant{weight: byRunTime, poolsPerTask: 2}.split},
	{"fade, after 10 ms", modelVariant{weight: byRunTime, poolsPerTask: 2, delay: 10}.split},
	{"full knowledge", fullKnowledge},
}

// Guards against demand that concentrates on a few pools because summaries are stale: Split
// must not do worse than choosing one pool at random.
func TestSplitWithStaleSummaries(t *testing.T) {
	for _, c := range []modelCase{ // pools, slots, load, mean run time, skew
		{3, 128, 0.7, 40, 0},
		{3, 128, 0.85, 40, 0},
		{3, 128, 0.95, 400, 0},
		{3, 128, 0.95, 400, 0.6},
		{36, 16, 0.7, 40, 0},
		{36, 16, 0.85, 40, 0},
		{36, 16, 0.85, 40, 0.6},
		{36, 16, 0.95, 400, 0},
		{36, 16, 0.95, 400, 0.6},
		{36, 16, 0.95, 4000, 0},
		{36, 16, 0.95, 4000, 0.6},
	} {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			compare(t, c)
		})
	}
}

// Guards against demand that concentrates on the single pool of a zone that gets most of the
// requests, because the owners of the zone rely on stale summaries and fill that pool.
func TestSplitOfSkewedLoadOverFewPools(t *testing.T) {
	t.Parallel()
	compare(t, modelCase{3, 128, 0.85, 40, 0.6})
}

func (m modelCase) String() string {
	return fmt.Sprintf("%d pools of %d, load %.2f, run %.0f ms, skew %.1f", m.pools, m.slots, m.load, m.meanRun, m.skew)
}

// compare fails if waits with Split are longer than with one pool at random: any increase of
// the median counts, at p99 an increase of more than two standard errors of the difference.
func compare(t *testing.T, c modelCase) {
	policies := modelPolicies
	if !*modelAll {
		policies = policies[:2]
	}
	results := map[string]modelResult{}
	for _, p := range policies {
		r := c.measure(p.policy, *modelSeeds)
		results[p.name] = r
		t.Logf("%v, %-18s p50 %5.1f ms, p99 %5.1f ms (+-%.1f), returned %.2f", c, p.name, r.p50, r.p99, r.p99Error, r.returned)
	}
	split, random := results["split"], results["one at random"]
	if split.p50 > random.p50 {
		t.Errorf("p50: split %.1f ms, one at random %.1f ms", split.p50, random.p50)
	}
	if split.p99 > random.p99+2*math.Hypot(split.p99Error, random.p99Error) {
		t.Errorf("p99: split %.1f ms, one at random %.1f ms", split.p99, random.p99)
	}
}
