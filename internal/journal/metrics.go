package journal

import "github.com/prometheus/client_golang/prometheus"

type writerMetrics struct {
	segments prometheus.Counter
	records  prometheus.Counter
	attempts prometheus.Counter
	failed   *prometheus.CounterVec
	latency  prometheus.Histogram
}

func newWriterMetrics() writerMetrics {
	return writerMetrics{
		segments: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "agateyard_journal_segments_total", Help: "Segments written.",
		}),
		records: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "agateyard_journal_records_total", Help: "Records acknowledged.",
		}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "agateyard_journal_attempts_total", Help: "Attempts to write a segment.",
		}),
		failed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "agateyard_journal_failed_total", Help: "Records that were not acknowledged.",
		}, []string{"result"}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "agateyard_journal_append_seconds",
			Help:    "Time from append to acknowledgement.",
			Buckets: []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5},
		}),
	}
}

// Collectors returns the writer's metrics for registration by the caller.
func (w *Writer) Collectors() []prometheus.Collector {
	return []prometheus.Collector{w.metrics.segments, w.metrics.records, w.metrics.attempts, w.metrics.failed, w.metrics.latency}
}
