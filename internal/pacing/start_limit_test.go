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

// lateOwner simulates an owner whose process gets only a part of its processor share at the end of each period, so that
// answers are late and placement passes, in which starts are sent, are rare. It returns how many starts were answered.
func lateOwner(l *StartLimit, perStart, pass, period, late time.Duration, slowdown int, lasting time.Duration) (answered int) {
	var queue []time.Duration // times at which the starts in flight were sent
	free := time.Duration(0)  // when the first of them is answered
	nextPass := time.Duration(0)
	for now := time.Duration(0); now < lasting; now += ms {
		if now%period >= period-late && int(now/ms)%slowdown > 0 {
			free += ms
			nextPass += ms
			continue
		}
		for len(queue) > 0 && free <= now {
			l.Answered(now-queue[0], now)
			queue = queue[1:]
			answered++
			free += perStart
		}
		if now < nextPass {
			continue
		}
		nextPass = now + pass
		for range l.Budget() {
			if len(queue) == 0 {
				free = max(free, now) + perStart
			}
			queue = append(queue, now)
			l.Sent()
		}
	}
	return answered
}

// TestLateProcessLowersLimitBriefly guards against a limit that stays near its minimum after the process was late: with
// passes 35 ms apart and 4 to 7 starts in flight an owner started 70 to 130 tasks a second, of 500 that it could.
func TestLateProcessLowersLimitBriefly(t *testing.T) {
	const (
		perStart = 2 * ms
		pass     = 35 * ms
		lasting  = 30 * time.Second
	)
	for _, c := range []struct {
		period, late time.Duration
		slowdown     int
		least        float64 // starts a second while the process runs
	}{
		{time.Hour, 0, 1, 400},
		{time.Second, 300 * ms, 1000, 400},
		{2 * time.Second, 600 * ms, 20, 400},
		{2 * time.Second, 800 * ms, 10, 400},
		{3 * time.Second, time.Second, 20, 400},
		{1500 * ms, 600 * ms, 20, 400},
	} {
		running := lasting.Seconds() * (1 - float64(c.late)/float64(c.period)*(1-1/float64(c.slowdown)))
		rate := float64(lateOwner(NewStartLimit(178), perStart, pass, c.period, c.late, c.slowdown, lasting)) / running
		t.Logf("%d times slower for %s of %s: %.0f starts a second while it runs", c.slowdown, c.late, c.period, rate)
		if rate < c.least {
			t.Errorf("%d times slower for %s of %s: %.0f starts a second while it runs", c.slowdown, c.late, c.period, rate)
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
