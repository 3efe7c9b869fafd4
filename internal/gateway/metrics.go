package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const metricsNamespace = "agateyard"

// metrics holds the metrics of the HTTP API.
type metrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	refused  *prometheus.CounterVec
	outcomes *prometheus.CounterVec
	now      func() time.Time
}

func newMetrics(opts Options, b *budget) *metrics {
	m := &metrics{
		now: opts.Now,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Subsystem: "http", Name: "requests_total",
			Help: "HTTP requests by route, method and status.",
		}, []string{"route", "method", "status"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Subsystem: "http", Name: "request_seconds",
			Help:    "Time to answer by route.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"route"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Subsystem: "gateway", Name: "refused_total",
			Help: "Submissions that the gateway refused, by reason.",
		}, []string{"reason"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Subsystem: "gateway", Name: "outcomes_total",
			Help: "Final answers of the scheduler by outcome and reason.",
		}, []string{"outcome", "reason"}),
	}
	opts.Registry.MustRegister(m.requests, m.seconds, m.refused, m.outcomes,
		newBudgetCollector(b), &revisionCollector{cache: opts.ConfigCache})
	return m
}

// measure records the count and the duration of the requests of a route.
func (m *metrics) measure(route string, h http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := m.now()
		rec := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		h(rec, r)
		m.requests.WithLabelValues(route, r.Method, strconv.Itoa(rec.status)).Inc()
		m.seconds.WithLabelValues(route).Observe(m.now().Sub(start).Seconds())
	})
}

// statusRecorder records the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records and sends the status.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (r *statusRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// budgetCollector reports the submissions in progress and the size of their bodies.
type budgetCollector struct {
	budget  *budget
	entries *prometheus.Desc
	bytes   *prometheus.Desc
}

func newBudgetCollector(b *budget) *budgetCollector {
	return &budgetCollector{
		budget:  b,
		entries: prometheus.NewDesc("agateyard_gateway_held_submissions", "Submissions that are being read or wait for their answer.", nil, nil),
		bytes:   prometheus.NewDesc("agateyard_gateway_held_bytes", "Bytes of their bodies.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *budgetCollector) Describe(ch chan<- *prometheus.Desc) { ch <- c.entries; ch <- c.bytes }

// Collect implements prometheus.Collector.
func (c *budgetCollector) Collect(ch chan<- prometheus.Metric) {
	entries, bytes := c.budget.used()
	ch <- prometheus.MustNewConstMetric(c.entries, prometheus.GaugeValue, float64(entries))
	ch <- prometheus.MustNewConstMetric(c.bytes, prometheus.GaugeValue, float64(bytes))
}

var revisionDesc = prometheus.NewDesc("agateyard_config_revision", "Revision in force at this process.", []string{"document"}, nil)

// revisionCollector reports the revision in force of each configuration document.
type revisionCollector struct{ cache ConfigCache }

// Describe implements prometheus.Collector.
func (c *revisionCollector) Describe(ch chan<- *prometheus.Desc) { ch <- revisionDesc }

// Collect implements prometheus.Collector.
func (c *revisionCollector) Collect(ch chan<- prometheus.Metric) {
	for document, revision := range c.cache.Revisions() {
		ch <- prometheus.MustNewConstMetric(revisionDesc, prometheus.GaugeValue, float64(revision), document)
	}
}
