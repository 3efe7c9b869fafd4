package candidacy

import (
	"testing"

	"pgregory.net/rapid"
)

// The machines of the deployment Adwenpa, and those of the small deployments.
var (
	largeVM  = Machine{CPU: 800, LinkMbps: 200, MemoryMB: 536, Descriptors: 10250}
	middleVM = Machine{CPU: 480, LinkMbps: 10, MemoryMB: 284, Descriptors: 8192}
	smallVM  = Machine{CPU: 144, LinkMbps: 10, MemoryMB: 144, Descriptors: 3075}
	usualVM  = Machine{CPU: 400, LinkMbps: 1000, MemoryMB: 284, Descriptors: 8192}
)

// TestScore guards against an owner chosen by its processor alone (Adwenpa scale-1: a VM with a link of 10 Mbit/s claimed
// ownership of 350 runners and went silent 3 s later).
func TestScore(t *testing.T) {
	adwenpa := Load{Runners: 350, StartsPerSecond: 450}
	for _, c := range []struct {
		name     string
		machine  Machine
		load     Load
		min, max float64
	}{
		{"large VM", largeVM, adwenpa, 1, 1},
		{"VM of 0.48 cores and 10 Mbit/s", middleVM, adwenpa, 0.4, 0.7},
		{"VM of 0.144 cores and 10 Mbit/s", smallVM, adwenpa, 0.1, 0.25},
		{"large processor behind a narrow link", Machine{CPU: 800, LinkMbps: 10, MemoryMB: 536, Descriptors: 8192}, adwenpa, 0.4, 0.7},
		{"little memory", Machine{CPU: 800, LinkMbps: 200, MemoryMB: 184, Descriptors: 8192}, adwenpa, 0.5, 0.7},
		{"few descriptors", Machine{CPU: 800, LinkMbps: 200, MemoryMB: 536, Descriptors: 1000}, adwenpa, 0.2, 0.4},
		{"previous build", Machine{CPU: 800}, adwenpa, 1, 1},
		{"small VM of the previous build", Machine{CPU: 144}, adwenpa, 0.15, 0.25},
		{"usual VM of a small deployment", usualVM, Load{Runners: 50, StartsPerSecond: 60}, 1, 1},
		{"more starts than usual", largeVM, Load{Runners: 350, StartsPerSecond: 700}, 0.6, 0.8},
		{"load not known", largeVM, Load{}, 1, 1},
		{"small VM, load not known", smallVM, Load{}, 0.1, 0.25},
	} {
		if got := Score(c.machine, c.load); got < c.min || got > c.max {
			t.Errorf("%s: score %.3f, want %.2f to %.2f", c.name, got, c.min, c.max)
		}
	}
}

func drawMachine(t *rapid.T, label string) Machine {
	return Machine{
		CPU: rapid.IntRange(100, 800).Draw(t, label+" cpu"), LinkMbps: rapid.Float64Range(0, 200).Draw(t, label+" link"),
		MemoryMB: rapid.IntRange(0, 600).Draw(t, label+" memory"), Descriptors: rapid.IntRange(0, 10000).Draw(t, label+" fds"),
	}
}

func drawLoad(t *rapid.T) Load {
	return Load{
		Runners: rapid.IntRange(0, 3000).Draw(t, "runners"), StartsPerSecond: rapid.Float64Range(0, 1000).Draw(t, "starts"),
	}
}

// TestScoreIsMonotonic guards against a machine that counts as better because it has less, or because the cell has more
// work.
func TestScoreIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, l := drawMachine(t, "machine"), drawLoad(t)
		score := Score(m, l)
		if score < 0 || score > 1 {
			t.Fatalf("score %f", score)
		}
		more := m
		more.CPU += 100
		if m.LinkMbps > 0 { // otherwise it is not known
			more.LinkMbps++
		}
		if Score(more, l) < score {
			t.Fatalf("%v scores less than %v", more, m)
		}
		if l.Runners == 0 {
			return
		}
		busier := l
		busier.Runners += 10
		busier.StartsPerSecond += 10
		if Score(m, busier) > score {
			t.Fatalf("the score rises with the load: %v", l)
		}
	})
}
