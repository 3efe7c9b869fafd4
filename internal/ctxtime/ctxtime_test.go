package ctxtime

import (
	"context"
	"testing"
	"time"
)

// TestSleepWithoutDuration guards against a timer without a duration, on which the runtime has crashed in a bubble
// under the race detector, and against a sleep that ignores a context which is done.
func TestSleepWithoutDuration(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	for _, d := range []time.Duration{-time.Second, 0, time.Millisecond} {
		if !Sleep(ctx, d) {
			t.Errorf("a sleep of %s ended early", d)
		}
	}
	cancel()
	for _, d := range []time.Duration{-time.Second, 0, time.Minute} {
		if Sleep(ctx, d) {
			t.Errorf("a sleep of %s ignores its context", d)
		}
	}
}
