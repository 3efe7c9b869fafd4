package pacing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// play sends calls of the given durations at time 0, one to each runner, and ends those that have ended by the given time.
func play(now time.Duration, durations ...time.Duration) *Calls {
	c := NewCalls()
	for i, d := range durations {
		if call := c.Sent(fmt.Sprint("r", i), 0, time.Second); d <= now {
			c.Done(call, time.Second+d)
		}
	}
	return c
}

func repeat(n int, d time.Duration) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = d
	}
	return out
}

// TestOverload guards against an owner at its limit that blames runners (Adwenpa scale-1: 460 starts without an answer in
// two seconds, 500 runners "silent"), and against an owner that never blames runners that are cut off.
func TestOverload(t *testing.T) {
	for _, c := range []struct {
		name      string
		durations []time.Duration
		want      bool
	}{
		{"all fast", repeat(350, 5*ms), false},
		{"all time out", repeat(350, 500*ms), true},
		{"all are overdue, none has ended", repeat(350, time.Hour), true},
		{"a third is cut off", append(repeat(117, time.Hour), repeat(233, 5*ms)...), false},
		{"a few runners, all cut off", repeat(5, time.Hour), false},
		{"most are slow", append(repeat(200, 300*ms), repeat(150, 5*ms)...), true},
	} {
		const at = 450 * ms
		calls := play(at, c.durations...)
		if got := calls.Overloaded(time.Second + at); got != c.want {
			t.Errorf("%s: overloaded %v", c.name, got)
		}
	}
}

// TestLateProcessBlamesNobody guards against runners blamed for answers that arrived in time and were handled late.
func TestLateProcessBlamesNobody(t *testing.T) {
	c := NewCalls()
	c.Lagged(maxLag/2, time.Second)
	if c.Overloaded(time.Second) {
		t.Error("a short delay counts")
	}
	c.Lagged(maxLag, time.Second)
	if !c.Overloaded(time.Second + 100*ms) {
		t.Error("a late process is not recognized")
	}
	if c.Overloaded(time.Second + 2*sampleWindow) {
		t.Error("the lateness never ends")
	}
}

// TestFirstTimeoutsOfPauseBlameNobody guards against runners blamed for the first starts that time out in a pause of this process,
// because the answers from right before the pause are more than the calls that are stuck.
func TestFirstTimeoutsOfPauseBlameNobody(t *testing.T) {
	const runners, pollTime = 120, 1200 * ms
	c := NewCalls()
	at := func(i int) time.Duration { return time.Second + time.Duration(i)*ms }
	for i := range runners { // polls whose answers are due from 2.2 s on, and fast starts
		c.Sent(fmt.Sprint("r", i), pollTime, at(10*i))
		c.Done(c.Sent(fmt.Sprint("r", i), 0, at(10*i)), at(10*i+5))
	}
	pause := at(10 * runners)
	for i := range runners { // a sixth of the last starts before the pause gets no answer
		if call := c.Sent(fmt.Sprint("r", i), 0, pause-10*ms); i >= runners/6 {
			c.Done(call, pause)
		}
	}
	if now := pause + 490*ms; !c.Overloaded(now) {
		t.Error("the runners are blamed")
	}
	for i := range 60 {
		c.Done(c.Sent(fmt.Sprint("r", 50+i), 0, pause+495*ms), pause+500*ms)
	}
	if now := pause + 510*ms; c.Overloaded(now) {
		t.Error("runners that don't answer while others do are not blamed")
	}
}

// TestTimeoutsOfPauseWithoutDuePolls guards against runners blamed for starts that time out in a pause of this process in which no
// poll is due, so that only the few runners of these starts are missed.
func TestTimeoutsOfPauseWithoutDuePolls(t *testing.T) {
	const runners, called, pause = 48, 4, 2 * time.Second
	c := NewCalls()
	for i := range runners {
		c.Sent(fmt.Sprint("r", i), 1200*ms, pause-50*ms)
		if call := c.Sent(fmt.Sprint("r", i), 0, pause-10*ms); i >= called {
			c.Done(call, pause)
		}
	}
	if now := pause + 200*ms; c.Quiet(now) {
		t.Error("a pause of 200 ms between answers counts")
	}
	if now := pause + 490*ms; !c.Quiet(now) {
		t.Error("the runners are blamed")
	}
	c.Done(c.Sent("r40", 0, pause+495*ms), pause+500*ms)
	if now := pause + 505*ms; c.Quiet(now) {
		t.Error("runners that don't answer while another does are not blamed")
	}
}

// TestOverloadDuringPollIsKnown guards against a runner called silent for a poll that met a pause of this process and timed out
// when the process was sound again.
func TestOverloadDuringPollIsKnown(t *testing.T) {
	c := NewCalls()
	c.Lagged(maxLag, 2*time.Second)
	for _, step := range []struct {
		sent, ended time.Duration
		want        bool
	}{
		{1 * time.Second, 2100 * ms, true}, // ends in the overload
		{1 * time.Second, 4 * time.Second, true},
		{3 * time.Second, 5 * time.Second, false},
	} {
		if got := c.OverloadedSince(step.sent, step.ended); got != step.want {
			t.Errorf("poll from %s to %s: overloaded %t", step.sent, step.ended, got)
		}
	}
}

// TestCutOffThirdIsBlamed guards against an owner that takes itself for overloaded while a third of the runners is cut off and
// the others answer.
func TestCutOffThirdIsBlamed(t *testing.T) {
	const runners, cutOff = 350, 117
	c := NewCalls()
	for now := time.Second; now < 3*time.Second; now += 10 * ms {
		for i := range runners {
			if i%10 != int(now/(10*ms))%10 {
				continue
			}
			if call := c.Sent(fmt.Sprint("r", i), 0, now); i >= cutOff {
				c.Done(call, now+5*ms)
			}
		}
		if at := now + 9*ms; c.Overloaded(at) || c.Quiet(at) {
			t.Fatalf("after %s", at-time.Second)
		}
	}
}

// TestWaitOfPollsIsNoDelay guards against polls that wait at the runner for a run to end and so count as slow.
func TestWaitOfPollsIsNoDelay(t *testing.T) {
	c := NewCalls()
	for i := range 100 {
		call := c.Sent(fmt.Sprint(i), 1500*ms, time.Second)
		c.Done(call, time.Second+time.Duration(15*i)*ms+10*ms)
	}
	if now := 2500 * ms; c.Overloaded(now) || c.Delay(now) > 20*ms {
		t.Errorf("delay %s", c.Delay(now))
	}
}

// TestFewRunnersDoNotSlowPolls guards against polls that pause because the only call that tells a delay was to a runner that
// is cut off, in a cell of a few runners.
func TestFewRunnersDoNotSlowPolls(t *testing.T) {
	c := play(500*ms, repeat(4, 500*ms)...)
	if got := c.Delay(1500 * ms); got != 0 {
		t.Errorf("delay %s", got)
	}
}

// TestPollPause guards against pauses of an owner without load, and against ones during which a lease expires.
func TestPollPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delay := time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * ms
		busy, idle := PollPause(delay, true), PollPause(delay, false)
		if delay <= minPollDelay && idle > 0 {
			t.Fatalf("pause of %s at a delay of %s", idle, delay)
		}
		if busy < 0 || busy > maxPollPause || idle < busy || idle > 1500*ms {
			t.Fatalf("pauses %s and %s", busy, idle)
		}
	})
}
