package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// queuedCounts are the queue lengths of the benchmarks; the last is the work of one day at the target size.
var queuedCounts = []int{1_000, 15_000, 150_000}

// benchQueue returns a table with n queued requests: half of them without an ordering key,
// half spread over 500 ordering keys.
func benchQueue(b *testing.B, n int) (*fixture, []model.RequestKey) {
	f := newFixture(b, Config{QueueEntries: 1 << 20, QueueBytes: 1 << 40})
	f.editTemplate("ask", func(t *model.Template) { t.MaxWait = 0 })
	f.editTemplate("ask-ordered", func(t *model.Template) { t.MaxWait = time.Hour })
	keys := make([]model.RequestKey, 0, n)
	for i := range n {
		key := f.key("ask", "")
		if i%2 == 1 {
			key = f.key("ask-ordered", fmt.Sprint(i%1000))
		}
		f.now = f.now.Add(time.Microsecond)
		f.submit(key)
		keys = append(keys, key)
	}
	return f, keys
}

// eachCount runs the benchmark at every queue length.
func eachCount(b *testing.B, run func(b *testing.B, f *fixture, keys []model.RequestKey)) {
	for _, n := range queuedCounts {
		b.Run(fmt.Sprintf("queued=%d", n), func(b *testing.B) {
			f, keys := benchQueue(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, f, keys)
		})
	}
}

// BenchmarkCycle measures one request from its submission to its answer.
func BenchmarkCycle(b *testing.B) {
	eachCount(b, func(b *testing.B, f *fixture, _ []model.RequestKey) {
		names := []string{"ask", "ask-ordered"}
		for i := range b.N {
			f.now = f.now.Add(20 * time.Microsecond)
			name := names[i%2]
			key := f.key(name, "")
			if i%2 == 1 {
				key.OrderingKey = fmt.Sprint(i % 1000)
			}
			f.submit(key)
			f.endWithAnswer(f.start(name, "e1").Attempt, 200, "")
			f.table.Tick(f.now)
		}
	})
}

// BenchmarkIntentCycle measures a non-idempotent request while other requests are queued.
func BenchmarkIntentCycle(b *testing.B) {
	eachCount(b, func(b *testing.B, f *fixture, _ []model.RequestKey) {
		for range b.N {
			f.now = f.now.Add(20 * time.Microsecond)
			f.submit(f.key("charge", ""))
			fx, _ := f.bind("charge", false, "e1")
			a := fx.Records[0].Attempt()
			f.table.IntentDurable(f.now, a)
			f.endWithAnswer(a, 200, "")
		}
	})
}

// BenchmarkDemand measures the aggregation of all queues.
func BenchmarkDemand(b *testing.B) {
	eachCount(b, func(b *testing.B, f *fixture, _ []model.RequestKey) {
		for range b.N {
			f.table.Demand(f.now)
		}
	})
}

// BenchmarkJobs measures listing jobs for an operator.
func BenchmarkJobs(b *testing.B) {
	eachCount(b, func(b *testing.B, f *fixture, _ []model.RequestKey) {
		for range b.N {
			f.table.Jobs(Filter{Template: "ask", State: model.JobQueued})
		}
	})
}

// BenchmarkRefusal measures refusing a request that the queue can't serve in time.
func BenchmarkRefusal(b *testing.B) {
	eachCount(b, func(b *testing.B, f *fixture, _ []model.RequestKey) {
		f.advance(time.Millisecond)
		for range 100 {
			f.now = f.now.Add(10 * time.Millisecond)
			f.start("ask", "e1")
		}
		impatient := model.Submission{Key: f.key("ask", ""), MaxWait: time.Millisecond}
		b.ResetTimer()
		for range b.N {
			fx := f.table.Submit(f.now, impatient, 1)
			f.checkRefused(fx, model.ReasonOverload)
		}
	})
}

// BenchmarkCancelAll measures the cancellation of up to 10,000 queued requests in one call.
func BenchmarkCancelAll(b *testing.B) {
	for _, n := range queuedCounts {
		b.Run(fmt.Sprintf("queued=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				b.StopTimer()
				f, keys := benchQueue(b, n)
				keys = keys[:min(n, 10_000)]
				b.StartTimer()
				f.table.Cancel(f.now, keys)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*min(n, 10_000)), "ns/request")
		})
	}
}

// BenchmarkHandover measures the handover of one of 256 shards.
func BenchmarkHandover(b *testing.B) {
	for _, n := range queuedCounts {
		b.Run(fmt.Sprintf("queued=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				b.StopTimer()
				f, _ := benchQueue(b, n)
				next := newFixture(b, Config{}).table
				next.Drop(f.now, 1)
				b.StartTimer()
				f.table.Freeze(f.now, 1)
				next.Import(f.now, f.table.Export(f.now, 1))
				f.table.Drop(f.now, 1)
			}
		})
	}
}
