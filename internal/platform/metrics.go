package platform

import "github.com/prometheus/client_golang/prometheus"

// clientMetrics holds the metrics of one client.
type clientMetrics struct {
	calls    *prometheus.CounterVec
	pending  prometheus.Gauge
	duration *prometheus.HistogramVec
}

func newClientMetrics() clientMetrics {
	return clientMetrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "agateyard_platform_calls_total",
			Help: "Calls to the platform by kind and result.",
		}, []string{"call", "result"}),
		pending: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "agateyard_platform_pending_watches",
			Help: "Watches that wait for a change.",
		}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "agateyard_platform_call_seconds",
			Help:    "Duration of calls to the platform, watches excluded.",
			Buckets: []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2},
		}, []string{"call"}),
	}
}

// Collectors returns the client's metrics for registration by the caller.
func (c *HTTPClient) Collectors() []prometheus.Collector {
	return []prometheus.Collector{c.metrics.calls, c.metrics.pending, c.metrics.duration}
}
