package main

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/agateyard/agateyard/internal/control"
	"github.com/agateyard/agateyard/internal/decisionlog"
	"github.com/agateyard/agateyard/platform"
)

const (
	// memoryLimitShare is the fraction of the memory limit in the settings that is set as the Go runtime's soft memory limit;
	// near it the garbage collector runs more often.
	memoryLimitShare = 0.6
	// gcPercent (GOGC) trades memory, which is plentiful, for CPU time.
	gcPercent = 300
	// drainShare is the fraction of the grace period in which new requests are still served, because the load balancer
	// needs two failed checks to remove the process.
	drainShare = 0.6
	// answerShare is the fraction of the grace period after which every request is answered, with what is known by then.
	answerShare = 0.8
	// endShare is the fraction of the grace period after which the process ends. The last answers are sent before that.
	endShare = 0.85
	// headerTimeout ends connections that don't send the header of a request in time.
	headerTimeout = 5 * time.Second
)

func serveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "serve",
		Short: "Run the scheduler process",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return serve() },
	}
}

func serve() error {
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	options := settings.Options()
	if err := options.Validate(); err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(settings.Limits.MemoryMB) * memoryLimitShare * (1 << 20)))

	sink := decisionlog.NewSink(os.Stdout)
	logger := logrus.New()
	logger.SetOutput(sink)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	log := decisionlog.NewLimiter(logger, settings.NodeName)
	p := newProcess(settings, log, prometheus.NewRegistry())
	sinkCtx, stopSink := context.WithCancel(context.Background())
	defer stopSink()
	go sink.Run(sinkCtx)
	err = p.run()
	sink.Drain()
	return err
}

func newProcess(settings *platform.Settings, log *decisionlog.Limiter, registry *prometheus.Registry) *process {
	metrics := control.NewMetrics(registry)
	runners := platform.NewRunners(settings.Limits.MaxFDs)
	runners.Observe(log, metrics)
	node := control.New(settings.Options(), control.Deps{
		Store: platform.NewStore(settings.Platform.Addr), Runners: runners,
		Advisor: platform.NewAdvisor(settings.Advice), Directory: platform.Directory{}, Log: log, Metrics: metrics,
	})
	p := &process{settings: settings, node: node, log: log}
	jobs := &platform.JobHandler{Node: node, Log: log, Metrics: metrics}
	p.stopping = &platform.StopHandler{Handler: &platform.RecoverHandler{Handler: jobs, Log: log}}
	p.front = &http.Server{Handler: p.stopping, ReadHeaderTimeout: headerTimeout, ConnState: p.busy.record}
	status := statusHandler(node, registry)
	p.ready = &http.Server{Handler: &platform.RecoverHandler{Handler: status, Log: log}, ReadHeaderTimeout: headerTimeout}
	return p
}

// statusHandler serves the load balancer's readiness check, the metrics and CPU profiles.
func statusHandler(node *control.Node, registry *prometheus.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !node.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return mux
}

type process struct {
	settings *platform.Settings
	node     *control.Node
	log      *decisionlog.Limiter
	front    *http.Server
	stopping *platform.StopHandler // of front
	busy     busyConnections       // of front
	ready    *http.Server
}

// run serves until SIGTERM or SIGINT and then shuts down gracefully.
func (p *process) run() error {
	listeners := map[string]net.Listener{}
	for _, address := range []string{p.settings.Listen.Control, p.settings.Listen.Ready, p.settings.Listen.Front} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return oops.Wrapf(err, "listen")
		}
		listeners[address] = l
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 3)
	go func() { failed <- p.node.Run(ctx, listeners[p.settings.Listen.Control]) }()
	go func() { failed <- p.ready.Serve(listeners[p.settings.Listen.Ready]) }()
	go func() { failed <- p.front.Serve(listeners[p.settings.Listen.Front]) }()
	fields := buildFields()
	fields["name"], fields["zone"] = p.settings.NodeName, p.settings.Zone
	p.log.Log("started", fields)

	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case err := <-failed:
			return err
		case s := <-signals:
			if s == syscall.SIGHUP {
				p.reload()
				continue
			}
			p.shutdown(listeners[p.settings.Listen.Front])
			return nil
		}
	}
}

// reload handles SIGHUP: it reads and checks the settings file and logs the result. It applies nothing, since settings are
// fixed while a process runs.
func (p *process) reload() {
	_, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	p.log.Log("settings-read", logrus.Fields{"error": decisionlog.ErrorText(err)})
}

// shutdown hands ownership over, serves during drainShare of the grace period so that the load balancer can remove the
// process, and answers the requests that were received. Further signals change nothing. Requests that arrive later on open
// connections are answered too, so idle connections are closed only when no request is left.
func (p *process) shutdown(front net.Listener) {
	signaled := time.Now()
	after := func(share float64) time.Time {
		return signaled.Add(time.Duration(float64(p.settings.GracePeriod()) * share))
	}
	p.stopping.Stop(after(answerShare))
	drain, endDrain := context.WithDeadline(context.Background(), after(drainShare))
	defer endDrain()
	p.node.Leave(drain)
	<-drain.Done()
	_ = front.Close() // the server's own Shutdown would drop requests that are read later
	ctx, cancel := context.WithDeadline(context.Background(), after(endShare))
	defer cancel()
	_ = p.busy.wait(ctx)                // the second wait reports the error
	p.front.SetKeepAlivesEnabled(false) // closes the idle connections; the last log lines may take long
	err := p.busy.wait(ctx)             // for requests that were received until then
	p.log.Log("stopped", logrus.Fields{"error": decisionlog.ErrorText(err)})
}
