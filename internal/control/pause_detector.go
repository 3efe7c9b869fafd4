package control

import (
	"context"
	"sync"
	"time"
)

const (
	// pauseCheckInterval is how often a process checks that it runs.
	pauseCheckInterval = 250 * time.Millisecond
	// minPause is the shortest gap between two checks that counts as a pause. It is shorter than acknowledgeWindow, as a
	// relayed poll must not acknowledge ends much later than the owner sent it.
	minPause = 700 * time.Millisecond
	// staleAfterPause is how long after a pause relayed calls are refused: they may have waited in the connection.
	staleAfterPause = time.Second
)

// pauseDetector notices that this process did not run for a while: its VM was suspended, it was stopped, or it got no
// processor.
type pauseDetector struct {
	mu         sync.Mutex
	lastCheck  time.Duration
	staleUntil time.Duration
}

// check records that the process runs, and reports whether calls that were received before may be stale.
func (d *pauseDetector) check(now time.Duration) (stale bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastCheck > 0 && now-d.lastCheck > minPause {
		d.staleUntil = now + staleAfterPause
	}
	d.lastCheck = max(d.lastCheck, now)
	return now < d.staleUntil
}

// run checks regularly until ctx is done.
func (d *pauseDetector) run(ctx context.Context, clock Clock) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		d.check(clock.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
