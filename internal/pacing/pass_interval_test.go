package pacing

import (
	"testing"
	"time"
)

// TestPassInterval guards against an owner that starts nothing for 700 ms because its process got no processor for 170 ms
// during one placement pass, and against one whose passes leave no time for other events.
func TestPassInterval(t *testing.T) {
	var p PassInterval
	for i, step := range []struct{ took, want time.Duration }{
		{0, minPassInterval},
		{6 * ms, minPassInterval},
		{5 * ms, 20 * ms},
		{170 * ms, 24 * ms}, // the process was late in this pass
		{6 * ms, 24 * ms},
		{0, minPassInterval}, // without a budget
		{5 * ms, 20 * ms},
		{0, minPassInterval},
		{6 * ms, 24 * ms},
		{40 * ms, 24 * ms}, // from here on the passes take longer
		{40 * ms, 160 * ms},
		{0, minPassInterval},
		{50 * ms, 160 * ms},
	} {
		p.Passed(step.took)
		if got := p.Interval(); got != step.want {
			t.Errorf("interval %s after pass %d of %s, want %s", got, i, step.took, step.want)
		}
	}
}
