package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/agateyard/agateyard/internal/configstore"
	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/entry"
	"github.com/agateyard/agateyard/internal/gateway"
	"github.com/agateyard/agateyard/internal/platform"
	"github.com/agateyard/agateyard/internal/settings"
	"github.com/agateyard/agateyard/internal/timeline"
)

// components holds the parts of an entry process.
type components struct {
	settings settings.Entry
	log      *logrus.Entry
	cache    *configstore.Cache
	process  *entry.Process
	http     *http.Server
	listener net.Listener
}

// serve runs the process until SIGTERM or SIGINT, and then shuts it down.
func serve(ctx context.Context, s settings.Entry) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	p, err := newComponents(runCtx, s)
	if err != nil {
		return err
	}
	g, runCtx := errgroup.WithContext(runCtx)
	g.Go(func() error { return ignoreCanceled(p.cache.Run(runCtx)) })
	g.Go(func() error { return ignoreCanceled(p.process.Run(runCtx)) })
	g.Go(func() error { return ignoreClosed(p.http.Serve(p.listener)) })
	g.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			return p.shutdown()
		case <-runCtx.Done():
			return nil
		}
	})
	p.log.WithField("http", s.HTTPAddress).WithField("rpc", s.RPCAddress).WithField("zone", s.Zone).Info("entry: process started")
	return g.Wait()
}

func newComponents(ctx context.Context, s settings.Entry) (*components, error) {
	log := newLog(s)
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	store := platform.NewHTTPClient(s.PlatformURL)
	cache := configstore.NewCache(configstore.Options{Store: store, Log: log})
	recorder := timeline.NewRecorder(timeline.NewClock(time.Now), s.Name, s.Timeline.Events)
	process, err := entry.NewProcess(entry.Config{
		Settings: s,
		Store:    store,
		VMs:      store,
		Cache:    cache,
		Recorder: recorder,
		Log:      log,
		NewClient: func(address string) endpoint.Client {
			return endpoint.NewHTTPClient(address, endpoint.DefaultOptions())
		},
	})
	if err != nil {
		return nil, err
	}
	registry.MustRegister(entry.NewCollector(process))
	registry.MustRegister(store.Collectors()...)
	api := gateway.New(gateway.Options{
		Scheduler:   process,
		Config:      configstore.NewStore(store, cache, log),
		ConfigCache: cache,
		Limits:      s.Limits,
		Retention:   s.Retention.Record,
		Registry:    registry,
		Log:         log,
	})
	listener, err := net.Listen("tcp", s.HTTPAddress)
	if err != nil {
		return nil, oops.In("entry").Wrapf(err, "listen for callers")
	}
	return &components{settings: s, log: log, cache: cache, process: process, http: api.HTTP(ctx), listener: listener}, nil
}

func newLog(s settings.Entry) *logrus.Entry {
	l := logrus.StandardLogger()
	l.SetLevel(s.Log.Level)
	if s.Log.Format == settings.LogJSON {
		l.SetFormatter(&logrus.JSONFormatter{})
	}
	return l.WithField("process", s.Name)
}

// shutdown removes the process from the balancer and hands over its state. It
// returns when this is done and every request in flight is answered, when a step
// fails, or after the stop timeout.
func (p *components) shutdown() error {
	p.log.Info("entry: stopping")
	p.process.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Stop.Timeout)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-time.After(p.settings.Stop.DrainDelay):
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.http.Shutdown(ctx) })
	g.Go(func() error { return p.process.Leave(ctx) })
	if err := g.Wait(); err != nil {
		p.log.WithError(err).Warn("entry: shutdown was incomplete")
		return err
	}
	p.log.Info("entry: stopped")
	return nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
