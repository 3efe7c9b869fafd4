package blame

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agateyard/agateyard/internal/job"
)

// TestJudge guards against a task that is started without end although it crashes its runners, and against one that is given
// up for losses that others may have caused, or of runners that had not started it.
func TestJudge(t *testing.T) {
	alone := job.Crash{Suspects: 1, Started: true}
	aloneUnanswered := job.Crash{Suspects: 1} // the runner may have been lost before
	amongThree := job.Crash{Suspects: 3, Started: true}
	amongThreeUnanswered := job.Crash{Suspects: 3}
	unexplained := job.Crash{Started: true}
	common := job.Crash{Started: true, CommonCause: true}
	for _, c := range []struct {
		crashes []job.Crash
		want    Verdict
	}{
		{nil, Unsuspected},
		{[]job.Crash{common, common, common, common, common, common}, Unsuspected},
		{[]job.Crash{common, alone, common, alone}, Culprit},
		{[]job.Crash{alone}, Suspect},
		{[]job.Crash{amongThree}, Suspect},
		{[]job.Crash{unexplained}, Unsuspected},
		{[]job.Crash{alone, alone}, Culprit},
		{[]job.Crash{aloneUnanswered, alone}, Suspect},
		{[]job.Crash{aloneUnanswered, aloneUnanswered}, Suspect},
		{[]job.Crash{amongThree, alone}, Culprit},
		{[]job.Crash{amongThreeUnanswered, alone}, Suspect},
		{[]job.Crash{amongThreeUnanswered, alone, alone}, Culprit},
		{[]job.Crash{aloneUnanswered, aloneUnanswered, aloneUnanswered}, Suspect},
		{[]job.Crash{aloneUnanswered, aloneUnanswered, aloneUnanswered, aloneUnanswered}, Culprit},
		{[]job.Crash{amongThreeUnanswered, amongThreeUnanswered, aloneUnanswered, aloneUnanswered}, Culprit},
		{[]job.Crash{amongThreeUnanswered, amongThreeUnanswered, amongThreeUnanswered, alone}, Suspect},
		{[]job.Crash{amongThreeUnanswered, amongThreeUnanswered, amongThreeUnanswered, amongThreeUnanswered}, Suspect},
		{[]job.Crash{amongThreeUnanswered, amongThreeUnanswered, amongThreeUnanswered, amongThreeUnanswered, amongThreeUnanswered}, Culprit},
		{[]job.Crash{alone, unexplained}, Suspect},
		{[]job.Crash{alone, unexplained, alone}, Culprit},
		{[]job.Crash{alone, amongThreeUnanswered}, Suspect},
		{[]job.Crash{amongThree, amongThree}, Suspect},
		{[]job.Crash{unexplained, unexplained}, Unsuspected},
		{[]job.Crash{unexplained, unexplained, unexplained}, Suspect},
		{[]job.Crash{amongThree, amongThree, amongThree, amongThree}, Suspect},
		{[]job.Crash{amongThree, amongThree, amongThree, amongThree, amongThree}, Culprit},
	} {
		for i := range c.crashes {
			c.crashes[i].Run = i + 1
		}
		if got := Judge(c.crashes); got != c.want {
			t.Errorf("%+v: %s, want %s", c.crashes, got, c.want)
		}
	}
	oneRun := []job.Crash{{Runner: "a", Run: 1, Suspects: 1, Started: true}, {Runner: "b", Run: 1, Suspects: 1, Started: true}}
	if got := Judge(oneRun); got != Suspect {
		t.Errorf("two runners lost under one run of a gang: %s, want %s", got, Suspect)
	}
}

// TestJudgeNeverForgives guards against a loss after which a task is trusted more than before.
func TestJudgeNeverForgives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var crashes []job.Crash
		before := Unsuspected
		for range rapid.IntRange(0, 8).Draw(t, "losses") {
			crashes = append(crashes, job.Crash{
				Run: rapid.IntRange(1, 4).Draw(t, "run"), Suspects: rapid.IntRange(0, 4).Draw(t, "suspects"), Started: rapid.Bool().Draw(t, "started"),
			})
			after := Judge(crashes)
			if after < before {
				t.Fatalf("%+v: %s after %s", crashes, after, before)
			}
			before = after
		}
	})
}

// TestCommonCause guards against a rack that loses power and is blamed on what ran there, and against tasks that crash several
// runners at the same time and pass for a lost rack.
func TestCommonCause(t *testing.T) {
	at := 10 * time.Second
	for _, c := range []struct {
		name            string
		rack, elsewhere int  // runners lost at the same time, besides the one in question
		started         bool // runs had just been started on all of them
		want            bool
	}{
		{"one runner", 0, 0, false, false},
		{"two of a rack of six", 1, 0, false, false},
		{"half of the rack", 2, 0, false, true},
		{"half of the rack, all with a new run", 2, 0, true, false},
		{"all of the rack, all with a new run", 5, 0, true, true},
		{"a tenth of the fleet", 0, 4, false, true},
		{"a tenth of the fleet, all with a new run", 0, 4, true, false},
		{"three elsewhere", 0, 3, false, false},
	} {
		var losses Losses
		lost := Loss{Rack: "r", At: at, Started: c.started}
		losses.Add(lost)
		for i := range c.rack + c.elsewhere {
			other := Loss{Rack: "r", At: at + time.Duration(i)*20*time.Millisecond, Started: c.started}
			if i >= c.rack {
				other.Rack = fmt.Sprint(i)
			}
			losses.Add(other)
		}
		losses.Add(Loss{Rack: "r", At: at + time.Second}) // another time
		if got := losses.CommonCause(lost, 6, 48); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}

// TestHarmfulQueue guards against a queue whose tasks crash runners and that is noticed late, against the others being
// blamed for it, and against one that is never trusted again.
func TestHarmfulQueue(t *testing.T) {
	var q Queues
	chance := map[string]float64{"culprit": 0.3, "busy": 0.6, "rare": 0.05}
	now := time.Second
	losses := 0
	for ; !q.Harmful(now)["culprit"]; losses++ {
		now += 100 * time.Millisecond
		q.Observe(now, map[string]bool{"culprit": true, "busy": losses%2 == 0}, chance)
		if losses > 4 {
			t.Fatalf("not harmful after %d losses", losses)
		}
	}
	if harmful := q.Harmful(now); len(harmful) != 1 {
		t.Errorf("harmful queues %v, want only that of the culprits", harmful)
	}
	if harmful := q.Harmful(now + 10*time.Second); len(harmful) != 0 {
		t.Errorf("harmful queues %v ten seconds after the last loss", harmful)
	}
}

// TestRandomLossesHarmNoQueue guards against a queue that is kept apart because runners crash for other reasons.
func TestRandomLossesHarmNoQueue(t *testing.T) {
	const seeds, losses = 20, 200
	chance := map[string]float64{"a": 0.3, "b": 0.1, "c": 0.02}
	harmful := 0
	for seed := range seeds {
		rng := rand.New(rand.NewSource(int64(seed)))
		var q Queues
		now := time.Second
		for range losses {
			now += 500 * time.Millisecond
			started := map[string]bool{}
			for _, name := range []string{"a", "b", "c"} {
				if rng.Float64() < chance[name] {
					started[name] = true
				}
			}
			q.Observe(now, started, chance)
			harmful += len(q.Harmful(now))
		}
	}
	if share := float64(harmful) / (seeds * losses); share > 0.05 {
		t.Errorf("a queue counts as harmful after %.2f of the random losses", share)
	}
}
