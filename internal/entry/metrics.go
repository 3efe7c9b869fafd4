package entry

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/agateyard/agateyard/internal/journal"
	"github.com/agateyard/agateyard/internal/model"
)

// metricsTimeout limits the time that one scrape waits for the loop.
const metricsTimeout = 2 * time.Second

// collector exports the state of the event loop, and the metrics of the journal of the
// current incarnation.
type collector struct {
	process *Process

	view    *prometheus.Desc
	store   *prometheus.Desc
	shards  *prometheus.Desc
	queued  *prometheus.Desc
	running *prometheus.Desc
	oldest  *prometheus.Desc
	total   *prometheus.Desc
	free    *prometheus.Desc
	waiting *prometheus.Desc
}

// NewCollector returns a collector for metrics of the event loop's state. Each
// scrape queries the loop once.
func NewCollector(p *Process) prometheus.Collector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("agateyard_"+name, help, labels, nil)
	}
	return &collector{
		process: p,
		view:    desc("view_number", "Number of the view in force."),
		store:   desc("store_reachable", "1 while lease renewals succeed."),
		shards:  desc("shards_owned", "Shards whose state this process holds."),
		queued:  desc("template_queued", "Requests that have not started, of the shards of this process.", "template"),
		running: desc("template_running", "Requests with live attempts, of the shards of this process.", "template"),
		oldest:  desc("template_oldest_wait_seconds", "Wait of the oldest request that is ready to start.", "template"),
		total:   desc("pool_total", "Capacity of a pool of this process.", "pool", "resource"),
		free:    desc("pool_free", "Free capacity of a pool of this process.", "pool", "resource"),
		waiting: desc("pool_waiting", "Grants that a pool of this process is asked for.", "pool"),
	}
}

// Describe sends the descriptions.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.view, c.store, c.shards, c.queued, c.running, c.oldest, c.total, c.free, c.waiting} {
		ch <- d
	}
	for _, c := range journal.NewWriter(journal.Config{}).Collectors() {
		c.Describe(ch)
	}
}

// Collect sends the current values. It sends none between two incarnations.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	n := c.process.Node()
	if n == nil {
		return
	}
	var failure error // logged by recoverCall
	defer n.recoverCall("metrics", &failure)
	for _, j := range n.journal.Collectors() {
		j.Collect(ch)
	}
	ctx, cancel := context.WithTimeout(context.Background(), metricsTimeout)
	defer cancel()
	s, err := n.status(ctx)
	if err != nil {
		return
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	gauge(c.view, float64(s.Member.View))
	gauge(c.store, boolValue(s.StoreReachable))
	gauge(c.shards, float64(s.Member.Shards))
	for _, t := range s.Templates {
		name := t.Template.String()
		gauge(c.queued, float64(t.Queued), name)
		gauge(c.running, float64(t.Running), name)
		gauge(c.oldest, (time.Duration(t.OldestWaitMS) * time.Millisecond).Seconds(), name)
	}
	for _, p := range s.Pools {
		name := string(p.Pool)
		eachResource(p.Total, func(resource string, v float64) { gauge(c.total, v, name, resource) })
		eachResource(p.Free, func(resource string, v float64) { gauge(c.free, v, name, resource) })
		gauge(c.waiting, float64(p.Waiting), name)
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// eachResource calls f with the name, which includes the unit, and the value of
// each resource.
func eachResource(r model.Resources, f func(resource string, v float64)) {
	f("cores_milli", float64(r.CoresMilli))
	f("memory_mb", float64(r.MemoryMB))
	f("accelerators", float64(r.Accelerators))
	f("slots", float64(r.Slots))
}
