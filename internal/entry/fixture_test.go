package entry

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/configstore"
	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform/standin"
	"github.com/agateyard/agateyard/internal/settings"
	"github.com/agateyard/agateyard/internal/timeline"
)

// testConfig returns the configuration of a process whose store is in memory and whose
// endpoints can't be reached.
func testConfig(t testing.TB) (Config, *standin.Server) {
	store := standin.New(standin.Config{WritesPerSecond: -1, ReadsPerSecond: -1})
	t.Cleanup(store.Close)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	return Config{
		Settings:  settings.Entry{Name: "test", Zone: "z", RPCListenAddress: "127.0.0.1:0", Retention: settings.Retention{Record: 15 * time.Minute}},
		Store:     store,
		VMs:       store,
		Cache:     configstore.NewCache(configstore.Options{Store: store, Log: log}),
		Recorder:  timeline.NewRecorder(timeline.NewClock(time.Now), "test", 16),
		Log:       log,
		NewClient: func(string) endpoint.Client { return unreachableClient{} },
	}, store
}

// testNode returns a node whose loop is not running: tests apply events themselves.
func testNode(t testing.TB) (*Node, *standin.Server) {
	cfg, store := testConfig(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return NewNode(ctx, cfg), store
}

// runProcess starts a process and returns the channel of its end.
func runProcess(t *testing.T) (*Process, *standin.Server, <-chan error) {
	cfg, store := testConfig(t)
	p, ended := startProcess(t, cfg)
	return p, store, ended
}

func startProcess(t *testing.T, cfg Config) (*Process, <-chan error) {
	p, err := NewProcess(cfg)
	if err != nil {
		t.Fatal(err)
	}
	p.cfg.Settings.RPCAddress = p.listener.Addr().String()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	waitFor(t, "incarnation", func() bool { return p.Node() != nil })
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
			t.Errorf("the process ended: %v", err)
		}
	})
	return p, ended
}

// waitForShards waits until the process holds every shard.
func waitForShards(t *testing.T, p *Process) {
	t.Helper()
	waitFor(t, "ownership of all shards", func() bool {
		status, err := p.Node().status(t.Context())
		return err == nil && status.Member.Shards == model.ShardCount
	})
}

// waitFor fails the test if the condition does not become true within 10 s.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not within 10 s: " + what)
}

// member reports whether the current incarnation is a member of its view.
func member(p *Process) bool {
	n := p.Node()
	if n == nil {
		return false
	}
	_, found := n.currentView().Find(n.self.Incarnation)
	return found
}
