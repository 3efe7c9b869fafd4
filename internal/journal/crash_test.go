package journal

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/agateyard/agateyard/internal/platform"
)

// hookedStore runs beforeCall before a Put, GrantLease, Revoke, Delete or List. The hook
// may refuse the call (but not a List), or let it take effect and lose the reply.
type hookedStore struct {
	platform.Store
	beforeCall func(call platform.Call, key string) (refuse, loseReply bool)
}

func (h *hookedStore) Put(ctx context.Context, key string, value []byte, opts platform.PutOptions) (uint64, error) {
	refuse, loseReply := h.beforeCall(platform.CallPut, key)
	if refuse {
		return 0, platform.ErrUnavailable
	}
	version, err := h.Store.Put(ctx, key, value, opts)
	if loseReply {
		return 0, platform.ErrUncertain
	}
	return version, err
}

func (h *hookedStore) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	refuse, loseReply := h.beforeCall(platform.CallGrant, "")
	if refuse {
		return "", platform.ErrUnavailable
	}
	id, err := h.Store.GrantLease(ctx, ttl)
	if loseReply {
		return "", platform.ErrUncertain
	}
	return id, err
}

func (h *hookedStore) Revoke(ctx context.Context, id platform.LeaseID) error {
	return h.intercept(platform.CallRevoke, "", func() error { return h.Store.Revoke(ctx, id) })
}

func (h *hookedStore) Delete(ctx context.Context, key string, version uint64) error {
	return h.intercept(platform.CallDelete, key, func() error { return h.Store.Delete(ctx, key, version) })
}

func (h *hookedStore) intercept(call platform.Call, key string, do func() error) error {
	refuse, loseReply := h.beforeCall(call, key)
	if refuse {
		return platform.ErrUnavailable
	}
	err := do()
	if loseReply {
		return platform.ErrUncertain
	}
	return err
}

func (h *hookedStore) List(ctx context.Context, prefix, after string, limit int) (platform.Page, error) {
	h.beforeCall(platform.CallList, prefix)
	return h.Store.List(ctx, prefix, after, limit)
}

// Guards against the loss of an acknowledged record when the owner crashes between any
// two writes of appends and compactions: it crashes before or right after its n-th write.
func TestCrashAtEachWriteKeepsAcknowledgedRecords(t *testing.T) {
	const maxWrites = 60 // more than one run makes
	for _, takesEffect := range []bool{false, true} {
		for n := range maxWrites {
			t.Run(fmt.Sprintf("write %d, effect %v", n, takesEffect), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { crashAt(t, n, takesEffect) })
			})
		}
	}
}

func crashAt(t *testing.T, n int, takesEffect bool) {
	var mu sync.Mutex
	writes := 0
	h := newHarness(1, func(s platform.Store) platform.Store {
		return &hookedStore{Store: s, beforeCall: func(platform.Call, string) (bool, bool) {
			mu.Lock()
			defer mu.Unlock()
			writes++
			return writes > n+1 || (writes == n+1 && !takesEffect), writes == n+1
		}}
	})
	defer h.close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for range 5 {
		for range 3 {
			h.append(time.Second)
			time.Sleep(20 * time.Millisecond)
		}
		_ = h.w.Compact(ctx, h.collectPadded) // fails after the crash
	}
	h.cancel()
	synctest.Wait()
	if n == 0 && h.ackedCount() > 0 {
		t.Fatalf("records were acknowledged without a write")
	}
	checkSealed(t, h, false)
}

// Guards against a seal that has no effect because the owner appends and compacts
// between the sealer's read and its write, so that the segment number that the sealer
// has chosen is already used and deleted.
func TestSealTakesEffectDespiteConcurrentCompaction(t *testing.T) {
	for round := range 3 {
		t.Run(fmt.Sprintf("after list %d", round), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(1, nil)
				defer h.close()
				h.append(0)
				synctest.Wait()
				lists := 0
				sealer := &hookedStore{Store: h.server, beforeCall: func(call platform.Call, _ string) (bool, bool) {
					if call == platform.CallList {
						lists++
					}
					if call == platform.CallPut || lists == round+1 {
						lists = 100 // runs the hook only once
						appendAndCompact(t, h)
					}
					return false, false
				}}
				if err := Seal(t.Context(), sealer, testOwner, "successor"); err != nil {
					t.Fatal(err)
				}
				h.checkAppendFails(t)
				checkSealed(t, h, false)
			})
		})
	}
}

func appendAndCompact(t *testing.T, h *harness) {
	if h.ackedCount() > 1 {
		return
	}
	h.append(0)
	time.Sleep(time.Second)
	if err := h.w.Compact(t.Context(), h.collect); err != nil {
		t.Errorf("compact: %v", err)
	}
}
