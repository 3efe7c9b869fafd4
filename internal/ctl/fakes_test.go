package ctl

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/configstore"
	"github.com/agateyard/agateyard/internal/gateway"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform"
	"github.com/agateyard/agateyard/internal/settings"
	"github.com/agateyard/agateyard/internal/timeline"
)

// memoryStore is the key-value service as far as documents need it.
type memoryStore struct {
	platform.Store
	mu       sync.Mutex
	revision uint64
	data     map[string]platform.Entry
}

func (m *memoryStore) Get(_ context.Context, key string) (platform.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.data[key]; ok {
		return e, nil
	}
	return platform.Entry{}, platform.ErrNotFound
}

func (m *memoryStore) Put(_ context.Context, key string, value []byte, opts platform.PutOptions) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.data[key].Version != opts.IfVersion {
		return 0, platform.ErrConflict
	}
	m.revision++
	m.data[key] = platform.Entry{Key: key, Value: value, Version: m.revision}
	return m.revision, nil
}

func (m *memoryStore) List(_ context.Context, prefix, _ string, _ int) (platform.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var p platform.Page
	for key, e := range m.data {
		if strings.HasPrefix(key, prefix) {
			p.Entries = append(p.Entries, e)
		}
	}
	slices.SortFunc(p.Entries, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return p, nil
}

// cell is the scheduler of the tests.
type cell struct {
	gateway.Scheduler
	cache *configstore.Cache
	lags  bool // one member never gets a revision
}

func (c *cell) Ready() error { return nil }

func (c *cell) Cell(context.Context) gateway.CellStatus {
	other := c.cache.Revisions()
	if c.lags {
		other = nil
	}
	return gateway.CellStatus{
		Members: []gateway.MemberStatus{
			{Incarnation: "m1", Zone: "a", Reachable: true, Ready: true, Revisions: c.cache.Revisions()},
			{Incarnation: "m2", Zone: "b", Reachable: true, Revisions: other},
		},
		Pools: []gateway.PoolStatus{{Pool: "runner/orders/a", Total: model.Resources{Slots: 8}}},
	}
}

func (c *cell) Jobs(context.Context, gateway.JobFilter) ([]model.JobStatus, error) {
	return []model.JobStatus{{Key: model.RequestKey{ID: "job\x1b[2J1"}, State: model.JobQueued}}, nil
}

func (c *cell) Events(context.Context, string) ([]timeline.Event, error) {
	return []timeline.Event{{Name: "queued"}}, nil
}

// server is the operator API with real documents. lose makes it drop the
// connection after it has served a change.
type server struct {
	*httptest.Server
	cell *cell

	mu   sync.Mutex
	lose int
}

func newServer(t *testing.T) *server {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	kv := &memoryStore{data: map[string]platform.Entry{}}
	cache := configstore.NewCache(configstore.Options{Store: kv, Log: log})
	s := &server{cell: &cell{cache: cache}}
	api := gateway.New(gateway.Options{
		Scheduler: s.cell, Config: configstore.NewStore(kv, cache, log), ConfigCache: cache,
		Limits: settings.Defaults().Limits, Retention: 15 * time.Minute,
		Registry: prometheus.NewRegistry(), Log: log,
	})
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && s.takeLoss() {
			api.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		api.ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *server) takeLoss() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose--
	return s.lose >= 0
}
