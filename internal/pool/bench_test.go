package pool

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/agateyard/agateyard/internal/model"
)

// randomTask returns a random task size: mostly small, a fifth of them with
// accelerators. The packing traces use it too.
func randomTask(rnd *rand.Rand) model.Resources {
	r := model.Resources{
		CoresMilli: 500 << rnd.Intn(5),
		MemoryMB:   1024 << rnd.Intn(5),
	}
	if rnd.Intn(5) == 0 {
		r.Accelerators = 1 << rnd.Intn(3)
	}
	return r
}

// benchPool returns a pool whose workers have 20/9 accelerators on average
// (18,000 for 8,100) and whose cores are about 80% allocated.
func benchPool(workers int, rnd *rand.Rand) (*Pool, []model.Template) {
	p := newTestPool("worker/z/r")
	var templates []model.Template
	for i := range 40 {
		t := job(fmt.Sprint("t", i), i%10)
		t.ID.Workspace = fmt.Sprint("w", i%8)
		t.Resources = randomTask(rnd)
		t.FloodShare = 0.5
		templates = append(templates, t)
	}
	templates[0].Reserve = 0.05
	setTemplates(p, templates...)
	for i := range workers {
		name := fmt.Sprintf("e%04d", i)
		c := worker(32, 64, 0)
		if i%18 < 5 { // 5 of 18 workers have 8 accelerators
			c = worker(64, 256, 8)
		}
		p.AddEndpoint(epoch, name)
		p.HandleSessionReply(epoch, name, epoch, report(c))
	}
	for p.free().CoresMilli*5 > p.total().CoresMilli {
		t := p.template(templates[rnd.Intn(len(templates))].ID)
		if !p.place(t, t.Resources, 1, nil) {
			break
		}
	}
	return p, templates
}

// BenchmarkDecision measures one scheduling decision among 40 waiting classes:
// ordering, limits, placement and the grant, plus the release of an earlier grant.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{50, 800, 8100} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			rnd := rand.New(rand.NewSource(testSeed))
			p, templates := benchPool(workers, rnd)
			var list []model.Demand
			for _, t := range templates {
				list = append(list, demand(t, 1<<40, at(0)))
			}
			p.SetDemand(epoch, "s", 1, list)
			p.collect(false)
			waiting := append([]*demandClass(nil), p.candidates...)
			ring := make([]uint64, 64)
			granted := 0
			times := hdrhistogram.New(1, int64(time.Second), 3)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := at(time.Duration(i) * time.Microsecond)
				begin := time.Now()
				p.candidates = append(p.candidates[:0], waiting...)
				c := p.candidates[p.firstCandidate()]
				if p.grantOne(now, c, false) {
					g := p.issueGrant(now, c.key, "s", p.cfg.GrantTTL)
					p.Return(now, ring[i%len(ring)])
					ring[i%len(ring)] = g.grant.ID
					granted++
				}
				_ = times.RecordValue(time.Since(begin).Nanoseconds())
				if len(p.openGrants) > 4096 {
					p.openGrants = p.openGrants[:0]
				}
			}
			b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-ns")
			b.ReportMetric(float64(granted)/float64(b.N), "granted/op")
		})
	}
}

// BenchmarkNoCapacity measures a search that fails: every worker has either the
// cores or the memory for the task and none has both.
func BenchmarkNoCapacity(b *testing.B) {
	for _, workers := range []int{50, 800, 8100} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			p := newTestPool("worker/z/r")
			t := p.template(id("t"))
			addEndpoints(p, workers, worker(32, 64, 0))
			for i, e := range p.ordered {
				if i%2 == 0 {
					p.charge(e, t, worker(31, 1, 0))
				} else {
					p.charge(e, t, worker(1, 63, 0))
				}
			}
			need := worker(2, 2, 0)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if p.findEndpoint(t, need, false, nil) != nil {
					b.Fatal("found an endpoint although the task fits on none")
				}
			}
		})
	}
}
