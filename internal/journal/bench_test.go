package journal

import (
	"context"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/agateyard/agateyard/internal/platform"
	"github.com/agateyard/agateyard/internal/platform/standin"
)

// BenchmarkAppendOverHTTP has nine writers append 88 records a second each to the
// stand-in store over loopback, which is nine times the rate of non-idempotent starts in
// the targets. Each iteration takes one second. It reports latencies and store writes.
func BenchmarkAppendOverHTTP(b *testing.B) {
	const members, perSecond = 9, 88
	server := standin.New(standin.Config{})
	h := httptest.NewServer(server.Handler())
	defer h.Close()
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	var latencies []time.Duration
	var writers []*Writer
	for range members {
		client := platform.NewHTTPClient(h.URL)
		defer client.Close()
		w := NewWriter(Config{Store: client, Incarnation: uuid.NewString(), Members: members})
		go func() { _ = w.Run(ctx) }()
		writers = append(writers, w)
	}
	record := make([]byte, 400)
	b.ResetTimer()
	var wg sync.WaitGroup
	for _, w := range writers {
		wg.Go(func() {
			for range b.N * perSecond {
				start := time.Now()
				w.Append(record, time.Time{}, func(err error) {
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						b.Errorf("append: %v", err)
					}
					latencies = append(latencies, time.Since(start))
				})
				time.Sleep(time.Second / perSecond)
			}
			if err := w.Flush(ctx); err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(server.Counters().Writes)/b.Elapsed().Seconds(), "writes/s")
}
