package pool

import (
	"math"
	"math/rand"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Chooser spreads the demand of one shard owner over pools by the power of two
// choices. A summary counts for less the older it is compared to the run time
// of the work, and the other shard owners are taken to act alike: summaries at
// their face value send everybody to the same pools and do worse than one
// choice at random while the work is shorter than the summaries are old.
// Not safe for concurrent use.
type Chooser struct {
	rnd   *rand.Rand
	peers float64 // shard owners that send to the same pools
	pools []chooserPool
	at    map[model.PoolID]int
}

// chooserPool is a pool as the shard owner sees it.
type chooserPool struct {
	summary model.PoolSummary
	told    time.Time
	sent    float64 // share of the pool sent there of late, fading with the run time
	sentAt  time.Time
}

// NewChooser returns a chooser without pools. The other shard owners, peers in
// all, are taken to send as much as this one.
func NewChooser(rnd *rand.Rand, peers int) *Chooser {
	return &Chooser{rnd: rnd, peers: float64(max(1, peers)), at: map[model.PoolID]int{}}
}

// Update takes over a newer summary of a pool.
func (c *Chooser) Update(now time.Time, s model.PoolSummary) {
	i, ok := c.at[s.Pool]
	if !ok {
		i = len(c.pools)
		c.at[s.Pool] = i
		c.pools = append(c.pools, chooserPool{})
	}
	c.pools[i].summary, c.pools[i].told = s, now
}

// Remove forgets a pool.
func (c *Chooser) Remove(id model.PoolID) {
	i, ok := c.at[id]
	if !ok {
		return
	}
	last := len(c.pools) - 1
	c.pools[i] = c.pools[last]
	c.at[c.pools[i].summary.Pool] = i
	c.pools = c.pools[:last]
	delete(c.at, id)
}

// Choose returns the pool for one task that runs for about the given time, the
// better of two at random among those with an endpoint that could hold it, or
// false when there is none.
func (c *Chooser) Choose(now time.Time, need model.Resources, run time.Duration) (model.PoolID, bool) {
	best := c.capable(need, -1)
	if best < 0 {
		return "", false
	}
	second := c.capable(need, best)
	if second >= 0 && c.load(now, second, need, run) < c.load(now, best, need, run) {
		best = second
	}
	p := &c.pools[best]
	p.sent = p.sent*fade(now.Sub(p.sentAt), run) + need.DominantShare(p.summary.Total)
	p.sentAt = now
	return p.summary.Pool, true
}

// fade returns the weight of what was known the given time ago.
func fade(age, run time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(max(time.Millisecond, run)))
}

// capable returns a random pool other than not that could hold the task, or -1.
func (c *Chooser) capable(need model.Resources, not int) int {
	n := len(c.pools)
	if n == 0 {
		return -1
	}
	start := c.rnd.Intn(n)
	for i := range n {
		at := (start + i) % n
		if at != not && need.Fits(c.pools[at].summary.Biggest) {
			return at
		}
	}
	return -1
}

// load estimates how full the pool is, waiting work included.
func (c *Chooser) load(now time.Time, i int, need model.Resources, run time.Duration) float64 {
	p := &c.pools[i]
	s := &p.summary
	used := s.Total.Sub(s.Free).Add(need.Scale(int64(s.Waiting)))
	return used.DominantShare(s.Total)*fade(now.Sub(p.told), run) + c.peers*p.sent*fade(now.Sub(p.sentAt), run)
}
