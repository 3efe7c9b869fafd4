package configstore

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/agateyard/agateyard/internal/platform"
)

// fault is the way in which a call to the fake store fails.
type fault int

const (
	faultNone         fault = iota
	faultUnavailable        // ErrUnavailable, nothing is written
	faultRequestLost        // ErrUncertain, nothing is written
	faultReplyLost          // ErrUncertain, the write took effect
	faultDelayedWrite       // ErrUncertain, the write takes effect later
	faultStall              // no reply until the context ends
)

// fakeStore is an in-memory key-value service with fault injection. It implements
// only the calls that this package makes.
type fakeStore struct {
	platform.Store // nil; this package doesn't use leases

	mu            sync.Mutex
	revision      uint64
	data          map[string]platform.Entry
	log           []platform.Entry
	changed       chan struct{}
	calls         map[string]int
	delayedWrites sync.WaitGroup

	// chooseFault returns the fault and the latency of a call; nil means no faults.
	chooseFault func(op, key string) (fault, time.Duration)
	// resetWatches makes all watches return Reset. Otherwise only watches from before
	// compactedRevision do.
	resetWatches      bool
	compactedRevision uint64
	// returnEarly makes watches return immediately, also without changes.
	returnEarly bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{data: map[string]platform.Entry{}, changed: make(chan struct{}), calls: map[string]int{}}
}

func (f *fakeStore) injectFault(ctx context.Context, op, key string) fault {
	f.mu.Lock()
	f.calls[op]++
	decide := f.chooseFault
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
	if f.injectFault(ctx, "get", key) != faultNone {
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
	if f.injectFault(ctx, "list", prefix) != faultNone {
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
	switch f.injectFault(ctx, "put", key) {
	case faultUnavailable:
		return 0, platform.ErrUnavailable
	case faultRequestLost, faultStall:
		return 0, platform.ErrUncertain
	case faultReplyLost:
		_, _ = f.put(key, value, opts.IfVersion)
		return 0, platform.ErrUncertain
	case faultDelayedWrite:
		f.delayedWrites.Go(func() {
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

// compact discards the history of changes.
func (f *fakeStore) compact() {
	f.log, f.compactedRevision = nil, f.revision
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
	if f.injectFault(ctx, "delete", key) != faultNone {
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
	if f.injectFault(ctx, "watch", prefix) != faultNone {
		return platform.Changes{}, platform.ErrUnavailable
	}
	timeout := time.After(wait)
	for {
		f.mu.Lock()
		c := platform.Changes{Revision: f.revision, Reset: f.resetWatches || after < f.compactedRevision}
		changed, answer := f.changed, c.Reset || f.returnEarly
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

func (f *fakeStore) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}
