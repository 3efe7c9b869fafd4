package pacing

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// owner simulates an owner that handles one start after the other, each in the given time, and returns how many were
// answered and the longest delay of an answer after the given time of adjustment.
func owner(l *StartLimit, perStart, lasting, adjust time.Duration) (answered int, longest time.Duration) {
	var queue []time.Duration // times at which the starts in flight were sent
	free := time.Duration(0)
	for now := time.Duration(0); now < lasting; now += ms {
		for len(queue) > 0 && free <= now {
			delay := now - queue[0]
			queue = queue[1:]
			l.Answered(delay, now)
			answered++
			if now > adjust {
				longest = max(longest, delay)
			}
			free += perStart
		}
		for range l.Budget() {
			if len(queue) == 0 {
				free = max(free, now) + perStart
			}
			queue = append(queue, now)
			l.Sent()
		}
	}
	return answered, longest
}

// TestStartLimitFollowsDelay guards against an owner that sends more starts than it can deliver, so that they end without
// an answer, and against one that delivers far fewer than it could.
func TestStartLimitFollowsDelay(t *testing.T) {
	for _, c := range []struct {
		name      string
		estimate  float64
		perStart  time.Duration
		perSecond float64
		adjust    time.Duration
	}{
		{"0.144 cores", 178, 5600 * time.Microsecond, 178, 0},
		{"a tenth of the estimate", 1000, 10 * ms, 100, 2 * time.Second},
		{"more than estimated", 50, time.Millisecond, 1000, 0},
	} {
		const lasting = 6 * time.Second
		answered, longest := owner(NewStartLimit(c.estimate), c.perStart, lasting, c.adjust)
		if longest >= 400*ms {
			t.Errorf("%s: an answer takes %s", c.name, longest)
		}
		if rate := float64(answered) / lasting.Seconds(); rate < 0.8*c.perSecond {
			t.Errorf("%s: %.0f starts a second of %.0f", c.name, rate, c.perSecond)
		}
	}
}

// TestStartLimitIgnoresOneRunner guards against an owner that slows down because some runners don't answer.
func TestStartLimitIgnoresOneRunner(t *testing.T) {
	l := NewStartLimit(500)
	before := l.Limit()
	for i := range 1000 {
		l.Sent()
		delay := 5 * ms
		if i%3 == 0 {
			delay = 500 * ms
		}
		l.Answered(delay, time.Duration(i)*10*ms)
	}
	if l.Limit() < before {
		t.Errorf("limit %d, was %d", l.Limit(), before)
	}
}

// TestStartLimitBounds guards against a limit at which nothing starts any more, and against counts that don't return to zero.
func TestStartLimitBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewStartLimit(rapid.Float64Range(0, 2000).Draw(t, "rate"))
		now, flying := time.Duration(0), 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * ms
			if rapid.Bool().Draw(t, "send") {
				l.Sent()
				flying++
			} else if flying > 0 {
				l.Answered(time.Duration(rapid.IntRange(0, 600).Draw(t, "delay"))*ms, now)
				flying--
			}
			if l.Limit() < minStarts || l.Limit() > maxStarts || l.Budget() != max(l.Limit()-flying, 0) {
				t.Fatalf("limit %d, budget %d with %d in flight", l.Limit(), l.Budget(), flying)
			}
		}
	})
}
