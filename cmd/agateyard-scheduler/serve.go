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
	// heapShare is the part of the machine's memory from which on the collector works harder.
	heapShare = 0.6
	// collectorPercent trades memory, of which there is plenty, for processor time.
	collectorPercent = 300
	// drainShare is the part of the grace period in which new requests are still served, as the balancer needs two
	// failed checks to take the process out.
	drainShare = 0.6
	// finishShare is the part of the grace period in which requests in flight may finish after that.
	finishShare = 0.25
	// headerTimeout ends connections that never send a request.
	headerTimeout = 5 * time.Second
)

func serveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "serve",
		Short: "Run the process",
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
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(int64(float64(settings.Limits.MemoryMB) * heapShare * (1 << 20)))

	sink := decisionlog.NewSink(os.Stdout)
	logger := logrus.New()
	logger.SetOutput(sink)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	log := decisionlog.NewLimiter(logger)
	registry := prometheus.NewRegistry()
	metrics := control.NewMetrics(registry)
	node := control.New(options, control.Deps{
		Store: platform.NewStore(settings.Platform.Addr), Runners: platform.NewRunners(),
		Advisor: platform.NewAdvisor(settings.Advice), Directory: platform.Directory{}, Log: log, Metrics: metrics,
	})
	p := &process{settings: settings, node: node, log: log}
	p.front = &http.Server{Handler: &platform.JobHandler{Node: node, Log: log, Metrics: metrics}, ReadHeaderTimeout: headerTimeout}
	p.ready = &http.Server{Handler: readiness(node, registry), ReadHeaderTimeout: headerTimeout}
	sinkCtx, stopSink := context.WithCancel(context.Background())
	defer stopSink()
	go sink.Run(sinkCtx)
	err = p.run()
	sink.Drain()
	return err
}

// readiness serves the balancer's check, the metrics and processor profiles.
func readiness(node *control.Node, registry *prometheus.Registry) http.Handler {
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
	ready    *http.Server
}

// run serves until SIGTERM and then stops in order.
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
	p.log.Log("started", logrus.Fields{"name": p.settings.NodeName, "zone": p.settings.Zone})

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
			p.shutdown()
			return nil
		}
	}
}

// reload checks the settings file. What it holds is fixed for the life of a process.
func (p *process) reload() {
	_, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	p.log.Log("settings-read", logrus.Fields{"error": decisionlog.ErrorText(err)})
}

// shutdown hands the work over, serves until the balancer sends nothing more, and finishes what is in flight.
func (p *process) shutdown() {
	grace := p.settings.GracePeriod()
	drained := time.After(time.Duration(float64(grace) * drainShare))
	p.node.Leave(context.Background())
	p.front.SetKeepAlivesEnabled(false)
	<-drained
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(float64(grace)*finishShare))
	defer cancel()
	err := p.front.Shutdown(ctx)
	p.log.Log("stopped", logrus.Fields{"error": decisionlog.ErrorText(err)})
}
