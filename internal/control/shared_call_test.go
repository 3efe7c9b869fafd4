package control

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestSharedCallLimits guards against calls that begin too often or pile up while they hang, and against a caller that is
// served by a call which began before it asked, or by none.
func TestSharedCallLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval, took, limit = 200 * time.Millisecond, 3 * time.Second, 2
		var running, most, begun atomic.Int32
		s := &sharedCall{interval: interval, limit: limit}
		s.run = func() {
			begun.Add(1)
			if now := running.Add(1); now > most.Load() {
				most.Store(now)
			}
			time.Sleep(took)
			running.Add(-1)
		}
		started := time.Now()
		var waiting []<-chan struct{}
		for time.Since(started) < 10*time.Second {
			waiting = append(waiting, s.begin())
			time.Sleep(50 * time.Millisecond)
		}
		asked := time.Now()
		<-s.begin()
		if waited := time.Since(asked); waited < took || waited > 2*took+interval {
			t.Errorf("the last caller waited for %s", waited)
		}
		for i, done := range waiting {
			select {
			case <-done:
			default:
				t.Errorf("caller %d was not served", i)
			}
		}
		if most.Load() != limit || begun.Load() < 6 {
			t.Errorf("%d calls, %d at the same time, want %d", begun.Load(), most.Load(), limit)
		}
	})
}
