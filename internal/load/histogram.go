package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxMicros is the longest latency that is told apart: 10 minutes.
const maxMicros = int64(10 * time.Minute / time.Microsecond)

// histogram records durations in microseconds with three significant digits.
type histogram struct {
	h *hdrhistogram.Histogram
}

func newHistogram() *histogram { return &histogram{hdrhistogram.New(1, maxMicros, 3)} }

func (h *histogram) record(d time.Duration) {
	_ = h.h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

func (h *histogram) merge(o *histogram) { h.h.Merge(o.h) }

func (h *histogram) summary() Latency {
	return Latency{
		Count:   h.h.TotalCount(),
		P50:     millis(h.h.ValueAtQuantile(50)),
		P90:     millis(h.h.ValueAtQuantile(90)),
		P99:     millis(h.h.ValueAtQuantile(99)),
		P999:    millis(h.h.ValueAtQuantile(99.9)),
		Maximum: millis(h.h.Max()),
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
