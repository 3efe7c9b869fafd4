package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxMicros is the highest recorded value: 10 minutes. Longer durations count as
// 10 minutes.
const maxMicros = int64(10 * time.Minute / time.Microsecond)

// histogram records durations in microseconds with three significant digits.
type histogram struct {
	hdr *hdrhistogram.Histogram
}

func newHistogram() *histogram { return &histogram{hdrhistogram.New(1, maxMicros, 3)} }

func (h *histogram) record(d time.Duration) {
	_ = h.hdr.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

func (h *histogram) merge(o *histogram) { h.hdr.Merge(o.hdr) }

func (h *histogram) summary() Latency {
	return Latency{
		Count:   h.hdr.TotalCount(),
		P50:     millis(h.hdr.ValueAtQuantile(50)),
		P90:     millis(h.hdr.ValueAtQuantile(90)),
		P99:     millis(h.hdr.ValueAtQuantile(99)),
		P999:    millis(h.hdr.ValueAtQuantile(99.9)),
		Maximum: millis(h.hdr.Max()),
	}
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// Latency summarizes durations, in milliseconds.
type Latency struct {
	Count   int64   `json:"count"`
	P50     float64 `json:"p50_ms"`
	P90     float64 `json:"p90_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
	Maximum float64 `json:"max_ms"`
}
