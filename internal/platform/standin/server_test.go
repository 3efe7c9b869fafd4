package standin

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/agateyard/agateyard/internal/platform"
)

// runInSynctest runs a test with a server in a synctest bubble, which has a fake clock.
func runInSynctest(t *testing.T, cfg Config, run func(ctx context.Context, s *Server)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := New(cfg)
		defer s.Close()
		run(t.Context(), s)
	})
}

func mustPut(t *testing.T, s *Server, key string, opts platform.PutOptions) uint64 {
	t.Helper()
	v, err := s.Put(context.Background(), key, []byte(key), opts)
	if err != nil {
		t.Fatalf("put %s: %v", key, err)
	}
	return v
}

// Guards against keys that outlive their lease, and against keys that are deleted with
// a lease from which a later write has detached them.
func TestExpiredLeaseDeletesItsKeys(t *testing.T) {
	runInSynctest(t, Config{}, func(ctx context.Context, s *Server) {
		lease, err := s.GrantLease(ctx, 3*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		mustPut(t, s, "a", platform.PutOptions{Lease: lease})
		attached := mustPut(t, s, "b", platform.PutOptions{Lease: lease})
		detached := mustPut(t, s, "b", platform.PutOptions{IfVersion: attached})
		for range 5 {
			time.Sleep(2 * time.Second)
			if err = s.KeepAlive(ctx, lease); err != nil {
				t.Fatalf("renewal: %v", err)
			}
		}
		changes, err := s.Watch(ctx, "", detached, time.Minute)
		if err != nil || len(changes.Entries) != 1 || changes.Entries[0].Key != "a" || !changes.Entries[0].Deleted {
			t.Errorf("changes %+v, error %v", changes, err)
		}
		if err = s.KeepAlive(ctx, lease); !errors.Is(err, platform.ErrLeaseGone) {
			t.Errorf("renewal of an expired lease: %v", err)
		}
		if _, err = s.Put(ctx, "c", nil, platform.PutOptions{Lease: lease}); !errors.Is(err, platform.ErrLeaseGone) {
			t.Errorf("write under an expired lease: %v", err)
		}
	})
}

// Guards against an outage that ends leases although ExpireInOutage is not set, or
// doesn't end them although it is.
func TestOutageAndLeases(t *testing.T) {
	for _, expire := range []bool{false, true} {
		runInSynctest(t, Config{}, func(ctx context.Context, s *Server) {
			lease, err := s.GrantLease(ctx, 3*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			s.SetFaults(Faults{Outage: true, ExpireInOutage: expire})
			time.Sleep(time.Minute)
			if err = s.KeepAlive(ctx, lease); !errors.Is(err, platform.ErrUnavailable) {
				t.Errorf("renewal during the outage: %v", err)
			}
			s.SetFaults(Faults{})
			if err = s.KeepAlive(ctx, lease); errors.Is(err, platform.ErrLeaseGone) != expire {
				t.Errorf("expiry during the outage %v: renewal after it: %v", expire, err)
			}
		})
	}
}

// Guards against rate limits that are not enforced and counters that miss calls.
func TestLimitsAndCounters(t *testing.T) {
	runInSynctest(t, Config{}, func(ctx context.Context, s *Server) {
		const seconds = 10
		for i := range seconds * 1000 {
			_, _ = s.Put(ctx, fmt.Sprint(i), nil, platform.PutOptions{})
			for range 4 {
				_, _ = s.Get(ctx, "key")
			}
			time.Sleep(time.Millisecond)
		}
		c := s.Counters()
		passed := float64(c.Writes+c.Reads-c.Throttled) / seconds
		// DefaultWritesPerSecond and DefaultReadsPerSecond with their bursts, and some tolerance.
		if c.Writes != seconds*1000 || c.Reads != seconds*4000 || c.Keys > 3100 || passed > 2400 || passed < 2200 {
			t.Errorf("counters %+v, %v calls/s passed", c, passed)
		}
		go func() { _, _ = s.Watch(ctx, "none", c.Revision, time.Second) }()
		synctest.Wait()
		if n := s.Counters().PendingWatches; n != 1 {
			t.Errorf("%d pending watches", n)
		}
		time.Sleep(2 * time.Second)
		if n := s.Counters().PendingWatches; n != 0 {
			t.Errorf("%d pending watches after the wait time", n)
		}
	})
}

// Guards against a watch that loses changes: across pages of large values, after the
// history was trimmed, and while watches are stalled.
func TestWatchLosesNoChange(t *testing.T) {
	runInSynctest(t, Config{WritesPerSecond: -1}, func(ctx context.Context, s *Server) {
		const keys = 3 * pageBytes / platform.MaxValueBytes
		for i := range keys {
			if _, err := s.Put(ctx, fmt.Sprintf("big/%03d", i), make([]byte, platform.MaxValueBytes), platform.PutOptions{}); err != nil {
				t.Fatal(err)
			}
		}
		seen := 0
		var after uint64
		for seen < keys {
			changes, err := s.Watch(ctx, "big/", after, time.Second)
			if err != nil || len(changes.Entries) == 0 {
				t.Fatalf("after %d changes: %+v, error %v", seen, changes.Revision, err)
			}
			seen += len(changes.Entries)
			after = changes.Revision
		}
		for i := range 2*historyLength + 1 {
			mustPut(t, s, fmt.Sprintf("small/%d", i), platform.PutOptions{})
		}
		changes, err := s.Watch(ctx, "big/", after, time.Second)
		if err != nil || !changes.Reset {
			t.Errorf("watch from a trimmed revision: %+v, error %v", changes, err)
		}
		s.SetFaults(Faults{StallWatches: true})
		stalled, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		if _, err = s.Watch(stalled, "", changes.Revision, time.Second); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("stalled watch: %v", err)
		}
	})
}

// Guards against a wrong result after a call without a reply: the write took effect,
// never does, takes effect late, or conflicts with another writer.
func TestPutWithReadBack(t *testing.T) {
	cases := map[string]struct {
		faults      Faults
		otherWriter bool // another writer changes the key while the outcome is unknown
		want        error
	}{
		"effect, reply lost":      {Faults{LoseNextReplies: 1}, false, nil},
		"no effect":               {Faults{LoseNextRequests: 3}, false, nil},
		"late effect":             {Faults{DelayNextWrites: 3, LateMS: 100}, false, nil},
		"no effect, other writer": {Faults{LoseNextRequests: 1}, true, platform.ErrConflict},
		"every request lost":      {Faults{LostRequests: 1}, false, platform.ErrUncertain},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runInSynctest(t, Config{}, func(ctx context.Context, s *Server) {
				first := mustPut(t, s, "k", platform.PutOptions{})
				s.SetFaults(c.faults)
				store := platform.Store(s)
				if c.otherWriter {
					store = &concurrentWriter{Server: s, t: t, version: first}
				}
				ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
				defer cancel()
				_, err := platform.PutWithReadBack(ctx, store, "k", []byte("mine"), platform.PutOptions{IfVersion: first}, "mine",
					func(value []byte) []string { return []string{string(value)} })
				if !errors.Is(err, c.want) {
					t.Fatalf("error %v, want %v", err, c.want)
				}
				s.SetFaults(Faults{})
				time.Sleep(time.Second)
				e, getErr := s.Get(context.Background(), "k")
				if getErr != nil || (string(e.Value) == "mine") != (err == nil) {
					t.Errorf("the value is %q, error %v", e.Value, getErr)
				}
			})
		})
	}
}

// concurrentWriter changes the key before each read.
type concurrentWriter struct {
	*Server
	t       *testing.T
	version uint64
}

func (w *concurrentWriter) Get(ctx context.Context, key string) (platform.Entry, error) {
	w.version = mustPut(w.t, w.Server, key, platform.PutOptions{IfVersion: w.version})
	return w.Server.Get(ctx, key)
}
