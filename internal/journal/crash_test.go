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

// hooked calls before for each call that reaches the store. A hook may refuse the
// call, or let it take effect and lose the reply.
type hooked struct {
	platform.Store
	before func(call platform.Call, key string) (refuse, lose bool)
}

func (h *hooked) Put(ctx context.Context, key string, value []byte, opts platform.PutOptions) (uint64, error) {
	refuse, lose := h.before(platform.CallPut, key)
	if refuse {
		return 0, platform.ErrUnavailable
	}
	version, err := h.Store.Put(ctx, key, value, opts)
	if lose {
		return 0, platform.ErrUncertain
	}
	return version, err
}

func (h *hooked) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	refuse, lose := h.before(platform.CallGrant, "")
	if refuse {
		return "", platform.ErrUnavailable
	}
	id, err := h.Store.GrantLease(ctx, ttl)
	if lose {
		return "", platform.ErrUncertain
	}
	return id, err
}

func (h *hooked) Revoke(ctx context.Context, id platform.LeaseID) error {
	return h.plain(platform.CallRevoke, "", func() error { return h.Store.Revoke(ctx, id) })
}

func (h *hooked) Delete(ctx context.Context, key string, version uint64) error {
	return h.plain(platform.CallDelete, key, func() error { return h.Store.Delete(ctx, key, version) })
}

func (h *hooked) plain(call platform.Call, key string, do func() error) error {
	refuse, lose := h.before(call, key)
	if refuse {
		return platform.ErrUnavailable
	}
	err := do()
	if lose {
		return platform.ErrUncertain
	}
	return err
}

func (h *hooked) List(ctx context.Context, prefix, after string, limit int) (platform.Page, error) {
	h.before(platform.CallList, prefix)
	return h.Store.List(ctx, prefix, after, limit)
}

// Guards against a crash between any two writes of appends and compactions that loses
// an acknowledged record: the owner dies before or right after its n-th write.
func TestCrashAtEachWriteLosesNothing(t *testing.T) {
	const mostWrites = 60 // above what the run makes
	for _, effect := range []bool{false, true} {
		for n := range mostWrites {
			t.Run(fmt.Sprintf("write %d, effect %v", n, effect), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { crashAt(t, n, effect) })
			})
		}
	}
}

func crashAt(t *testing.T, n int, effect bool) {
	var mu sync.Mutex
	writes := 0
	x := newWorld(1, func(s platform.Store) platform.Store {
		return &hooked{Store: s, before: func(platform.Call, string) (bool, bool) {
			mu.Lock()
			defer mu.Unlock()
			writes++
			return writes > n+1 || (writes == n+1 && !effect), writes == n+1
		}}
	})
	defer x.close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for range 5 {
		for range 3 {
			x.append(time.Second)
			time.Sleep(20 * time.Millisecond)
		}
		_ = x.w.Compact(ctx, x.collectPadded) // fails after the crash
	}
	x.cancel()
	synctest.Wait()
	if n == 0 && x.count() > 0 {
		t.Fatalf("records were acknowledged without a write")
	}
	checkSealed(t, x, false)
}

// Guards against a seal that has no effect: the owner appends, compacts and deletes
// the number that the sealer has chosen, between the sealer's reading and its write.
func TestSealHoldsWhenOwnerCompactsMeanwhile(t *testing.T) {
	for round := range 3 {
		t.Run(fmt.Sprintf("after list %d", round), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newWorld(1, nil)
				defer x.close()
				x.append(0)
				synctest.Wait()
				lists := 0
				sealer := &hooked{Store: x.server, before: func(call platform.Call, _ string) (bool, bool) {
					if call == platform.CallList {
						lists++
					}
					if call == platform.CallPut || lists == round+1 {
						lists = 100 // once
						appendAndCompact(t, x)
					}
					return false, false
				}}
				if err := Seal(t.Context(), sealer, owner, "successor"); err != nil {
					t.Fatal(err)
				}
				x.appendInVain(t)
				checkSealed(t, x, false)
			})
		})
	}
}

func appendAndCompact(t *testing.T, x *world) {
	if x.count() > 1 {
		return
	}
	x.append(0)
	time.Sleep(time.Second)
	if err := x.w.Compact(t.Context(), x.collect); err != nil {
		t.Errorf("compact: %v", err)
	}
}
