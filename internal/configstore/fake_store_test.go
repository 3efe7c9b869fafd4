package configstore

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/agateyard/agateyard/internal/platform"
)

// fault is what a call of the fake store does instead of working.
type fault int

const (
	faultNone       fault = iota
	faultDown             // ErrUnavailable, nothing is written
	faultLostBefore       // ErrUncertain, nothing is written
	faultLostAfter        // ErrUncertain, the write took effect
	faultLate             // ErrUncertain, the write takes effect later
	faultStall            // nothing comes back until the context ends
)

// fakeStore is an in-memory key-value service with faults. Only the calls that
// this package makes do something.
type fakeStore struct {
	platform.Store // nil; leases are not used here

	mu       sync.Mutex
	revision uint64
	data     map[string]platform.Entry
	log      []platform.Entry
	changed  chan struct{}
	calls    map[string]int
	late     sync.WaitGroup

	// decide returns the fault and the latency of a call.
	decide func(op, key string) (fault, time.Duration)
	// reset makes watches answer that the history is gone. Without it, that is so
	// for watches from before compacted.
	reset     bool
	compacted uint64
	// early makes watches return at once without changes.
	early bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{data: map[string]platform.Entry{}, changed: make(chan struct{}), calls: map[string]int{}}
}

func (f *fakeStore) begin(ctx context.Context, op, key string) fault {
	f.mu.Lock()
	f.calls[op]++
	decide := f.decide
	f.mu.Unlock()
	if decide == nil {
		return faultNone
	}
	what, latency := decide(op, key)
	if what == faultStall {
		<-ctx.Done()
	}
	time.Sleep(latency)
	return what
}

func (f *fakeStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if f.begin(ctx, "get", key) != faultNone {
		return platform.Entry{}, platform.ErrUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.data[key]
	if !ok {
		return e, platform.ErrNotFound
	}
	return e, nil
}

func (f *fakeStore) List(ctx context.Context, prefix, after string, limit int) (platform.Page, error) {
	if f.begin(ctx, "list", prefix) != faultNone {
		return platform.Page{}, platform.ErrUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p := platform.Page{Revision: f.revision}
	for key, e := range f.data {
		if strings.HasPrefix(key, prefix) && key > after {
			p.Entries = append(p.Entries, e)
		}
	}
	slices.SortFunc(p.Entries, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	if len(p.Entries) > limit {
		p.Entries, p.More = p.Entries[:limit], true
	}
	return p, nil
}

func (f *fakeStore) Put(ctx context.Context, key string, value []byte, opts platform.PutOptions) (uint64, error) {
	switch f.begin(ctx, "put", key) {
	case faultDown:
		return 0, platform.ErrUnavailable
	case faultLostBefore, faultStall:
		return 0, platform.ErrUncertain
	case faultLostAfter:
		_, _ = f.put(key, value, opts.IfVersion)
		return 0, platform.ErrUncertain
	case faultLate:
		f.late.Go(func() {
			time.Sleep(150 * time.Millisecond)
			_, _ = f.put(key, value, opts.IfVersion)
		})
		return 0, platform.ErrUncertain
	}
	return f.put(key, value, opts.IfVersion)
}

func (f *fakeStore) put(key string, value []byte, ifVersion uint64) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.data[key].Version != ifVersion {
		return 0, platform.ErrConflict
	}
	f.revision++
	f.record(platform.Entry{Key: key, Value: value, Version: f.revision})
	return f.revision, nil
}

// set writes without a condition.
func (f *fakeStore) set(key string, value []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.write(key, value)
}

func (f *fakeStore) write(key string, value []byte) {
	f.revision++
	f.record(platform.Entry{Key: key, Value: value, Version: f.revision})
}

// compact drops the history.
func (f *fakeStore) compact() {
	f.log, f.compacted = nil, f.revision
}

func (f *fakeStore) record(e platform.Entry) {
	if e.Deleted {
		delete(f.data, e.Key)
	} else {
		f.data[e.Key] = e
	}
	f.log = append(f.log, e)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeStore) Delete(ctx context.Context, key string, ifVersion uint64) error {
	if f.begin(ctx, "delete", key) != faultNone {
		return platform.ErrUncertain
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if e, ok := f.data[key]; !ok || e.Version != ifVersion {
		return nil
	}
	f.revision++
	f.record(platform.Entry{Key: key, Version: f.revision, Deleted: true})
	return nil
}

func (f *fakeStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (platform.Changes, error) {
	if f.begin(ctx, "watch", prefix) != faultNone {
		return platform.Changes{}, platform.ErrUnavailable
	}
	timeout := time.After(wait)
	for {
		f.mu.Lock()
		c := platform.Changes{Revision: f.revision, Reset: f.reset || after < f.compacted}
		changed, answer := f.changed, c.Reset || f.early
		for _, e := range f.log {
			if e.Version > after && strings.HasPrefix(e.Key, prefix) {
				c.Entries = append(c.Entries, e)
			}
		}
		f.mu.Unlock()
		if answer || len(c.Entries) > 0 {
			return c, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return c, nil
		case <-ctx.Done():
			return platform.Changes{}, ctx.Err()
		}
	}
}

func (f *fakeStore) count(op string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[op]
}

func (f *fakeStore) with(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}
