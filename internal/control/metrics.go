package control

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// Metrics holds the Prometheus metrics of a process.
type Metrics struct {
	Owner      prometheus.Gauge
	Takeover   prometheus.Histogram
	Advice     prometheus.Histogram
	Acceptance prometheus.Histogram
	requests   *prometheus.CounterVec
	storeCalls *prometheus.CounterVec
	starts     *prometheus.CounterVec
	startTime  prometheus.Histogram
	runEnds    *prometheus.CounterVec
	runTime    prometheus.Histogram
	// runnerLosses counts runners that were probably lost with their runs, by evidence.
	runnerLosses *prometheus.CounterVec
	// OtherIncarnation counts the calls for an incarnation of a runner that would have reached another one, by call.
	OtherIncarnation *prometheus.CounterVec
	// SilentConnections counts the calls to runners that got nothing on their connection by their time limit.
	SilentConnections prometheus.Counter
	// suspects counts the tasks that were suspected of the loss of a runner, by what followed.
	suspects *prometheus.CounterVec
	// ownFaults counts the tasks and steps whose failures count against no runner.
	ownFaults *prometheus.CounterVec
	// stageWaits counts the reports of stages that have waited long without a start, by cause.
	stageWaits *prometheus.CounterVec
	jobs       *prometheus.CounterVec
	gauges     *prometheus.GaugeVec
	auth       *prometheus.CounterVec
	configAge  atomic.Pointer[func() float64]
	// ConfigBehind is the number of processes whose configuration is older than the owner's.
	ConfigBehind      prometheus.Gauge
	configVersion     prometheus.Gauge
	configBad         prometheus.Gauge
	configUpdates     *prometheus.CounterVec
	configUnconfirmed prometheus.Histogram
	staleDecisions    *prometheus.CounterVec
	// loopBusy is the longest time that the event loop has worked without a break, each second.
	loopBusy prometheus.Histogram
	// terms counts the ownerships of this process that have ended, by whether the durable state had been loaded.
	terms        *prometheus.CounterVec
	ownerlessFor atomic.Pointer[func() float64]
	tenants      *prometheus.GaugeVec
	// refusals counts the jobs that this process refused as owner, by reason.
	refusals *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	counter := func(name, help, label string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "agateyard", Name: name, Help: help}, []string{label})
		r.MustRegister(c)
		return c
	}
	histogram := func(name, help string, buckets []float64) prometheus.Histogram {
		h := prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "agateyard", Name: name, Help: help, Buckets: buckets,
		})
		r.MustRegister(h)
		return h
	}
	fast := prometheus.ExponentialBuckets(0.001, 2, 13) // 1 ms to 4 s
	slow := prometheus.ExponentialBuckets(0.05, 2, 10)  // 50 ms to 25 s
	m := &Metrics{
		Owner:            prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "agateyard", Name: "owner", Help: "1 while this process owns the work."}),
		Takeover:         histogram("takeover_seconds", "Time to load the durable state after a claim.", fast),
		Advice:           histogram("advice_seconds", "Time of advice calls, waiting included.", fast),
		Acceptance:       histogram("acceptance_seconds", "Time from a submission's arrival to its answer.", fast),
		requests:         counter("requests_total", "Callers' requests by answer.", "answer"),
		storeCalls:       counter("store_calls_total", "Store calls by kind and result.", "call"),
		starts:           counter("starts_total", "Orders to start a run by outcome.", "outcome"),
		startTime:        histogram("start_seconds", "Time of orders to start a run.", fast),
		runEnds:          counter("run_ends_total", "Ends of runs by kind.", "how"),
		runTime:          histogram("run_seconds", "Time from the order to start a run to its end.", slow),
		OtherIncarnation: counter("other_incarnation_total", "Calls for an incarnation of a runner that would have reached another one, by call.", "call"),
		runnerLosses:     counter("runner_losses_total", "Runners that were probably lost with their runs, by evidence.", "evidence"),
		stageWaits:       counter("stage_waits_total", "Reports of stages that have waited long without a start, by cause.", "cause"),
		ownFaults:        counter("own_faults_total", "Tasks and whole steps that have failed on several runners, so that their failures count against none.", "of"),
		suspects:         counter("crash_suspects_total", "Tasks under which a runner was lost, by verdict, and those that were cleared.", "verdict"),
		jobs:             counter("jobs_ended_total", "Jobs by final state.", "state"),
		ConfigBehind: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "agateyard", Name: "config_behind", Help: "Processes with an older configuration than this owner for more than a second.",
		}),
		SilentConnections: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "agateyard", Name: "silent_connections_total", Help: "Calls to runners that got nothing on their connection by their time limit.",
		}),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "agateyard", Name: "config_version", Help: "Version of the configuration in force.",
		}),
		configBad: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "agateyard", Name: "config_undecodable", Help: "1 while the newest configuration can't be decoded.",
		}),
		configUpdates:     counter("config_updates_total", "Versions of the configuration that came into force, by source.", "from"),
		configUnconfirmed: histogram("config_unconfirmed_seconds", "Upper bound of the delay with which a version came into force.", fast),
		loopBusy:          histogram("loop_longest_seconds", "Longest time for which the owner's event loop worked at a stretch, each second.", fast),
		terms:             counter("terms_total", "Ownerships of this process that have ended, by whether the durable state had been loaded.", "end"),
		staleDecisions:    counter("stale_decisions_total", "Requests decided by a configuration that was not confirmed in time, by result.", "result"),
		refusals:          counter("refusals_total", "Jobs refused by the owner, by reason.", "reason"),
		auth:              counter("auth_total", "Authenticated requests by result, where keys are required.", "result"),
		gauges: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "agateyard", Name: "owned", Help: "State of the owner by kind.",
		}, []string{"kind"}),
		tenants: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "agateyard", Name: "tenant", Help: "State of the tenants with the most usage, as seen by the owner, by kind.",
		}, []string{"tenant", "kind"}),
	}
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "agateyard", Name: "config_age_seconds", Help: "Time since the configuration in force was confirmed as the newest.",
	}, m.readConfigAge)
	ownerless := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "agateyard", Name: "no_owner_seconds", Help: "Time since this process last knew of an owner that had loaded the durable state.",
	}, m.readOwnerless)
	r.MustRegister(ownerless, m.Owner, m.gauges, m.tenants, age, m.ConfigBehind, m.configVersion, m.configBad, m.SilentConnections)
	return m
}

// Request counts the response to a caller's request; answer is its HTTP status.
func (m *Metrics) Request(answer string) { m.requests.WithLabelValues(answer).Inc() }

// Auth counts the authentication of a request, unless the cell requires no keys.
func (m *Metrics) Auth(result AuthResult) {
	if result != AuthOpen {
		m.auth.WithLabelValues(string(result)).Inc()
	}
}

func (m *Metrics) configDecoded(ok bool) {
	if ok {
		m.configBad.Set(0)
		return
	}
	m.configBad.Set(1)
}

func (m *Metrics) configChanged(version int64, source configSource, change configChange) {
	m.configVersion.Set(float64(version))
	m.configUpdates.WithLabelValues(source.from).Inc()
	if change.previous > 0 {
		m.configUnconfirmed.Observe(change.unconfirmed.Seconds())
	}
}

// setConfigAge sets the function that returns the age of the configuration in force.
func (m *Metrics) setConfigAge(age func() float64) { m.configAge.Store(&age) }

func (m *Metrics) readConfigAge() float64 {
	if age := m.configAge.Load(); age != nil {
		return (*age)()
	}
	return 0
}

// setOwnerless sets the function that returns for how long no owner has been known that had loaded the durable state.
func (m *Metrics) setOwnerless(seconds func() float64) { m.ownerlessFor.Store(&seconds) }

func (m *Metrics) readOwnerless() float64 {
	if seconds := m.ownerlessFor.Load(); seconds != nil {
		return (*seconds)()
	}
	return 0
}

func (m *Metrics) termEnded(loaded bool) {
	end := "unloaded"
	if loaded {
		end = "loaded"
	}
	m.terms.WithLabelValues(end).Inc()
}

func (m *Metrics) storeCall(call string, err error) {
	result := "ok"
	if errors.Is(err, ErrNotApplied) {
		result = "refused"
	} else if LocalFailure(err) {
		result = "not-sent"
	} else if err != nil {
		result = "failed"
	}
	m.storeCalls.WithLabelValues(call + "-" + result).Inc()
}

func (m *Metrics) startAnswered(outcome scheduler.StartOutcome, took time.Duration) {
	m.starts.WithLabelValues(outcome.String()).Inc()
	m.startTime.Observe(took.Seconds())
}

func (m *Metrics) runEnded(outcome string, after time.Duration) {
	m.runEnds.WithLabelValues(outcome).Inc()
	m.runTime.Observe(after.Seconds())
}

func (m *Metrics) refused(reason string) { m.refusals.WithLabelValues(reason).Inc() }

func (m *Metrics) jobEnded(state job.State) { m.jobs.WithLabelValues(string(state)).Inc() }

func (m *Metrics) setStats(s scheduler.Stats) {
	m.setTenants(s.Tenants)
	for kind, value := range map[string]float64{
		"active_jobs": float64(s.ActiveJobs), "open_stages": float64(s.OpenStages), "waiting_tasks": float64(s.WaitingTasks), "runs": float64(s.Runs),
		"runners": float64(s.Runners), "usable_runners": float64(s.UsableRunners), "isolated_runners": float64(s.IsolatedRunners), "used_cpu_milli": float64(s.UsedCPU), "cpu_milli": float64(s.CapacityCPU),
	} {
		m.gauges.WithLabelValues(kind).Set(value)
	}
}

// setTenants replaces the figures of the tenants, so that those without usage don't keep old ones.
func (m *Metrics) setTenants(stats []scheduler.TenantStats) {
	m.tenants.Reset()
	for _, t := range stats {
		for kind, value := range map[string]float64{
			"running_cores": float64(t.UsedCPU) / 1000, "cap_cores": float64(t.CapCPU) / 1000, "fair_share": t.FairShare, "account": t.Account,
			"waiting_cores": float64(t.WaitingCPU) / 1000, "excess_jobs": float64(t.ExcessJobs), "refused_jobs": float64(t.Refused),
			"over_share": float64(t.OverShare),
		} {
			m.tenants.WithLabelValues(t.Name, kind).Set(value)
		}
	}
}
