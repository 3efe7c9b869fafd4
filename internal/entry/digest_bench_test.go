package entry

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	"github.com/google/uuid"

	"github.com/agateyard/agateyard/internal/model"
)

// BenchmarkGossipSummaries measures the cost of updating one summary, and the
// bytes per pool in a message that carries all summaries.
func BenchmarkGossipSummaries(b *testing.B) {
	for _, pools := range []int{1, 100, 1015} {
		b.Run(fmt.Sprint(pools), func(b *testing.B) {
			l := &loop{summaries: make(map[model.PoolID]model.PoolSummary)}
			var list []model.PoolSummary
			owner := uuid.NewString()
			for i := range pools {
				s := model.PoolSummary{
					Pool: model.WorkerPool("zone-a", fmt.Sprintf("rack-zone-a-%02d", i)), Owner: owner, Version: 1000, Endpoint: 8,
					Total: model.Resources{CoresMilli: 256000, MemoryMB: 524288, Accelerators: 16},
					Free:  model.Resources{CoresMilli: 56000, MemoryMB: 124288, Accelerators: 7},
				}
				s.Largest, s.Biggest = s.Free, s.Total
				l.setSummary(s.Pool, s)
				list = append(list, s)
			}
			for i := range b.N {
				s := list[i%pools]
				s.Version = uint64(i)
				l.setSummary(s.Pool, s)
			}
			b.StopTimer()
			var buf bytes.Buffer
			enc := gob.NewEncoder(&buf)
			_ = enc.Encode(GossipArgs{}) // gob sends type definitions only once per connection
			first := buf.Len()
			if err := enc.Encode(GossipArgs{Summaries: list}); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(buf.Len()-first)/float64(pools), "bytes/pool")
		})
	}
}
