package scheduler

import (
	"fmt"
	"math"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// TestRunnerSpeedEstimate guards against a runner that counts as slow after a single long run, or as fast after many of
// them.
func TestRunnerSpeedEstimate(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	var v runnerSpeed
	if v.slowness() != 0 {
		t.Errorf("slowness %.2f of a runner without completed runs", v.slowness())
	}
	v.observe(time.Second, 3*time.Second)
	if v.slowness() > 0.15 {
		t.Errorf("slowness %.2f after one long run", v.slowness())
	}
	const slowness = 0.25
	for range 200 {
		measured := time.Duration(math.Exp(slowness+0.6*rng.NormFloat64()) * float64(time.Second))
		v.observe(time.Second, measured)
	}
	if got := v.slowness(); math.Abs(got-slowness) > 0.15 {
		t.Errorf("slowness %.2f after 200 runs, want %.2f", got, slowness)
	}
}

// TestUrgentTasksPreferFastRunners guards against lookups that miss their objective on slow runners while fast ones have
// capacity, on a half-full fleet of machines of different speed.
func TestUrgentTasksPreferFastRunners(t *testing.T) {
	sim := newMixedSimulation(16, 16)
	sim.slowdown = map[string]float64{}
	for i, r := range sim.sched.sortedRunners() {
		if i%4 == 1 { // half of the eligible runners
			sim.slowdown[r.ID] = 1.6
		}
	}
	onSlow, urgent := 0, 0
	seen := 0
	for tick := range 600 { // 30 s
		sim.submitStep("fill", fmt.Sprintf("f%015d", tick), job.Step{Count: 1, Need: model.Resources{CoresMilli: 2000}, Estimate: 600})
		sim.submitStep("urgent", fmt.Sprintf("u%015d", tick), job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 300})
		sim.run(50 * time.Millisecond)
		if tick < 300 {
			seen = len(sim.trace)
		}
	}
	for _, line := range sim.trace[seen:] {
		var task string
		var run int
		var runner string
		if _, err := fmt.Sscanf(trimTime(line), "simulation: %s run %d begins on %s", &task, &run, &runner); err != nil || task[0] != 'u' {
			continue
		}
		urgent++
		if sim.slowdown[runner] > 0 {
			onSlow++
		}
	}
	if urgent < 250 {
		t.Fatalf("%d urgent tasks started, want at least 250", urgent)
	}
	if onSlow > urgent/10 {
		t.Errorf("%d of %d urgent tasks started on slow runners, fast ones have capacity", onSlow, urgent)
	}
}

// trimTime removes the time from a trace line.
func trimTime(line string) string {
	_, rest, _ := strings.Cut(line, ": ")
	return rest
}
