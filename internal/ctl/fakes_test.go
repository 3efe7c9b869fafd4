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

// memoryStore is an in-memory key-value service with the calls that these tests need.
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

// fakeScheduler is a gateway.Scheduler that reports a cell of two members.
type fakeScheduler struct {
	gateway.Scheduler
	cache   *configstore.Cache
	lagging bool // member m2 never reports a revision
}

func (c *fakeScheduler) Ready() error { return nil }

func (c *fakeScheduler) Cell(context.Context) gateway.CellStatus {
	other := c.cache.Revisions()
	if c.lagging {
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

func (c *fakeScheduler) Jobs(context.Context, gateway.JobFilter) ([]model.JobStatus, error) {
	return []model.JobStatus{{Key: model.RequestKey{ID: "job\x1b[2J1"}, State: model.JobQueued}}, nil
}

func (c *fakeScheduler) Events(context.Context, string) ([]timeline.Event, error) {
	return []timeline.Event{{Name: "queued"}}, nil
}

// testServer serves the operator API with a configstore.Store.
type testServer struct {
	*httptest.Server
	scheduler *fakeScheduler

	mu            sync.Mutex
	dropResponses int // number of changes to serve without sending the response
}

func newTestServer(t *testing.T) *testServer {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	kv := &memoryStore{data: map[string]platform.Entry{}}
	cache := configstore.NewCache(configstore.Options{Store: kv, Log: log})
	s := &testServer{scheduler: &fakeScheduler{cache: cache}}
	api := gateway.New(gateway.Options{
		Scheduler: s.scheduler, Config: configstore.NewStore(kv, cache, log), ConfigCache: cache,
		Limits: settings.Defaults().Limits, Retention: 15 * time.Minute,
		Registry: prometheus.NewRegistry(), Log: log,
	})
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && s.shouldDropResponse() {
			api.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		api.ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *testServer) shouldDropResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponses--
	return s.dropResponses >= 0
}
