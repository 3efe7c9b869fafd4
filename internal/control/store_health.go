package control

import (
	"sync"
	"time"
)

// storeHealth tracks whether the store calls of this process succeed.
type storeHealth struct {
	mu           sync.Mutex
	lastOK       time.Duration // last call that succeeded
	failingSince time.Duration // first failure since the last success; 0 if none
	recoveredAt  time.Duration // end of the last outage
}

// record updates the health with the result of a call. changed is true when the store was lost or regained; outage is how
// long it was lost before it was regained.
func (h *storeHealth) record(ok bool, now time.Duration) (changed bool, outage time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !ok {
		if h.failingSince == 0 {
			h.failingSince = now
			return true, 0
		}
		return false, 0
	}
	h.lastOK = now
	if h.failingSince > 0 {
		outage, h.failingSince, h.recoveredAt = now-h.failingSince, 0, now
		return true, outage
	}
	return false, 0
}

// stableFor reports whether the last call succeeded and the end of the last outage, if any, is at least d ago.
func (h *storeHealth) stableFor(d, now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failingSince == 0 && h.lastOK > 0 && now-h.recoveredAt >= d
}

// failingFor returns how long store calls have been failing; 0 if the last one succeeded.
func (h *storeHealth) failingFor(now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failingSince == 0 {
		return 0
	}
	return max(now-h.failingSince, 1)
}

// answeredWithin reports whether the last successful call is at most d ago.
func (h *storeHealth) answeredWithin(d, now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastOK > 0 && now-h.lastOK <= d
}
