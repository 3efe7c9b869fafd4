package control

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agateyard/agateyard/internal/scheduler"
)

// TestAnswersAreNotTakenForNewer guards against an answer that is taken for newer than it is, so that its ends are
// acknowledged to the next incarnation, and against one that waited at the runner and is taken for much older, so that
// its ends are never acknowledged. Clocks of runners are up to 2 % fast or slow.
func TestAnswersAreNotTakenForNewer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		millis := func(limit int, what string) time.Duration {
			return time.Duration(rapid.IntRange(0, limit*1000).Draw(rt, what)) * time.Microsecond
		}
		var a answerTimes
		rate := rapid.Float64Range(0.98, 1.02).Draw(rt, "rate")
		now, restarted, incarnation := time.Hour, time.Hour, int64(1)
		tight := time.Duration(-1) // when the last answer that arrived at once was made
		for range rapid.IntRange(1, 30).Draw(rt, "polls") {
			if rapid.IntRange(0, 9).Draw(rt, "restart") == 0 {
				incarnation++
				restarted, tight = now, -1
				now += millis(300, "down")
			}
			wait := time.Duration(0)
			if rapid.Bool().Draw(rt, "waits") {
				wait = millis(1500, "wait")
			}
			delay := millis(10, "delay")
			if rapid.IntRange(0, 4).Draw(rt, "paused") == 0 {
				delay = millis(1000, "pause")
			}
			requested := now
			made := requested + wait
			now = made + delay
			rep := scheduler.Report{
				Runner: "r", Incarnation: incarnation, Clock: int64(rate*float64((made-restarted)/time.Microsecond)/1000) + 1,
			}
			got := a.notBefore(&rep, requested, now)
			if got > made || got < requested {
				rt.Fatalf("requested at %s, made at %s, bound %s", requested, made, got)
			}
			if wait == 0 {
				tight = made
			}
			if tight < 0 {
				continue
			}
			// The reading of a slow clock and the lower bound of its rate deviate by up to 4 % together.
			if slack := time.Duration(0.04*float64(made-tight)) + 3*time.Millisecond; made-got > slack {
				rt.Fatalf("made at %s, bound %s, last answer without a wait at %s", made, got, tight)
			}
		}
	})
}

// TestImplausibleRunnerClock guards against a runner's clock that jumps: the time of the request bounds the answer then.
func TestImplausibleRunnerClock(t *testing.T) {
	var a answerTimes
	for _, step := range []struct {
		reading             int64
		requested, received time.Duration
	}{
		{1000, time.Second, 1010 * time.Millisecond},
		{1 << 62, 2 * time.Second, 2010 * time.Millisecond},
		{-1 << 62, 3 * time.Second, 3010 * time.Millisecond},
		{0, 4 * time.Second, 4010 * time.Millisecond},
	} {
		rep := scheduler.Report{Runner: "r", Incarnation: 1, Clock: step.reading}
		if got := a.notBefore(&rep, step.requested, step.received); got != step.requested {
			t.Errorf("%+v: %s", step, got)
		}
	}
}
