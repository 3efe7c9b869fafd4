package candidacy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func candidates(machines ...Machine) []Candidate {
	var out []Candidate
	for i, m := range machines {
		out = append(out, Candidate{Incarnation: fmt.Sprint("p", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Machine: m})
	}
	return out
}

func without(all []Candidate, i int) []Candidate {
	return append(append([]Candidate{}, all[:i]...), all[i+1:]...)
}

// TestDelayOfUnequalMachines guards against a claim by a VM that can't carry the cell while one that can is alive (Adwenpa
// scale-1: the extra wait of smaller machines applied only from half of the processor on).
func TestDelayOfUnequalMachines(t *testing.T) {
	all := candidates(smallVM, middleVM, smallVM, largeVM, middleVM)
	for _, load := range []Load{{}, {Runners: 350, StartsPerSecond: 450}, {Runners: 350, StartsPerSecond: 20}} {
		for i, c := range all {
			got := Delay(c, without(all, i), load, 3)
			if c.Machine == largeVM && got != 0 {
				t.Errorf("the large VM waits %s", got)
			}
			if c.Machine != largeVM && got < unfitDelay+stagger {
				t.Errorf("VM of %d waits only %s", c.Machine.CPU, got)
			}
		}
	}
}

// TestLikeMachinesBehaveAsBefore guards against changes in deployments whose VMs are all alike, under any load: a candidate
// waits for each one with a smaller hash and for nothing else, and no owner hands over.
func TestLikeMachinesBehaveAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, l := drawMachine(t, "machine"), drawLoad(t)
		all := candidates(m, m, m, m, m, m, m)[:rapid.IntRange(1, 7).Draw(t, "processes")]
		term := rapid.Int64Range(0, 50).Draw(t, "term")
		for i, self := range all {
			ahead := 0
			var successors []Successor
			for _, other := range without(all, i) {
				successors = append(successors, Successor{Candidate: other, Present: time.Hour, Configured: true})
				if hash(other, term) < hash(self, term) {
					ahead++
				}
			}
			if got, want := Delay(self, without(all, i), l, term), time.Duration(min(ahead, maxStaggers))*stagger; got != want {
				t.Fatalf("delay %s, want %s", got, want)
			}
			if to, ok := NewHandover(0).Choose(self, successors, l, term, time.Hour); ok {
				t.Fatalf("hands over to %v", to)
			}
		}
	})
}

// TestOrderOfCandidates guards against two best candidates, which would claim at the same time, and against candidates
// without an order, who would wait for each other.
func TestOrderOfCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLoad(t)
		var machines []Machine
		for i := range rapid.IntRange(1, 8).Draw(t, "processes") {
			machines = append(machines, drawMachine(t, fmt.Sprint(i)))
		}
		all := candidates(machines...)
		term := rapid.Int64Range(0, 50).Draw(t, "term")
		first := 0
		for i, a := range all {
			delay := Delay(a, without(all, i), l, term)
			if delay == 0 {
				first++
			}
			for _, b := range without(all, i) {
				if Better(a, b, l, term) == Better(b, a, l, term) {
					t.Fatalf("no order between %v and %v", a, b)
				}
				if Score(b.Machine, l) >= worthwhileGain*Score(a.Machine, l) && delay < unfitDelay {
					t.Fatalf("%v waits %s for %v", a, delay, b)
				}
			}
		}
		if first != 1 {
			t.Fatalf("%d candidates wait for nobody", first)
		}
	})
}

// TestDeferralEnds guards against a cell without an owner because a fitter member answers but never claims.
func TestDeferralEnds(t *testing.T) {
	var d Deferral
	const begin = 10 * time.Second
	for _, step := range []struct {
		term int64
		at   time.Duration
		want bool
	}{{4, begin, true}, {4, begin + time.Second, true}, {4, begin + maxDeferral, false}, {5, begin + maxDeferral, true}} {
		if got := d.Continue(step.term, step.at); got != step.want {
			t.Errorf("term %d at %s: waits %v, want %v", step.term, step.at, got, step.want)
		}
	}
}

// TestStartRate guards against scores that change with each swing of the load.
func TestStartRate(t *testing.T) {
	var r StartRate
	now := time.Duration(1)
	r.PerSecond(now)
	second := func(starts int) float64 {
		for range starts {
			r.Started()
		}
		now += time.Second
		return r.PerSecond(now)
	}
	if got := second(300); got != 300 {
		t.Errorf("300 starts in a second: %.0f", got)
	}
	if got := second(30); got < 290 {
		t.Errorf("a second after 300 starts: %.0f", got)
	}
	for range 200 {
		second(30)
	}
	if got := second(30); got != 30 {
		t.Errorf("after minutes with 30 starts a second: %.0f", got)
	}
}
