package control

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
)

// brokenRange is a store of which every second page can't be read at first.
type brokenRange struct {
	Store
	mu    sync.Mutex
	reads map[string]int // by the key after which the page begins
}

func (b *brokenRange) Range(ctx context.Context, prefix, after string) (Page, error) {
	b.mu.Lock()
	b.reads[prefix+after]++
	broken := after != "" && b.reads[prefix+after] == 1
	b.mu.Unlock()
	if broken {
		return Page{}, errors.New("the answer was lost")
	}
	return b.Store.Range(ctx, prefix, after)
}

// TestPagesAreReadOnce guards against a read of many pages that begins again after the loss of one answer, and so never ends
// on a store or link that loses some (incident LOST).
func TestPagesAreReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 3 * pageItems
		store := newMemoryStore()
		storeFinishedJobs(t, store, jobs)
		tn := newTestNode(store, "127.0.0.1:1", testWeight)
		broken := &brokenRange{Store: tn.dep.Store, reads: map[string]int{}}
		tn.dep.Store = broken
		items, _, err := tn.readRange(context.Background(), jobPrefix)
		if err != nil || len(items) != jobs {
			t.Fatalf("%d items, error %v", len(items), err)
		}
		seen := map[string]bool{}
		for _, item := range items {
			seen[item.Key] = true
		}
		if len(seen) != jobs {
			t.Errorf("%d different items of %d", len(seen), jobs)
		}
		for page, reads := range broken.reads {
			if want := map[bool]int{true: 1, false: 2}[page == jobPrefix]; reads != want {
				t.Errorf("the page after %q was read %d times, want %d", page, reads, want)
			}
		}
	})
}
