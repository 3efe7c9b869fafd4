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

// TestRunnerSpeedIsLearned guards against a runner that is taken for slow after one long run, or for fast after many.
func TestRunnerSpeedIsLearned(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	var v runnerSpeed
	if v.slowness() != 0 {
		t.Errorf("slowness %.2f of a runner that nothing is known of", v.slowness())
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

// TestUrgentTasksGoToFastRunners guards against lookups that miss their objective on slow runners while fast ones have
// room: the pattern is a fleet of machines of unlike speed that is half full.
func TestUrgentTasksGoToFastRunners(t *testing.T) {
	w := loadWorld(16, 16)
	w.slower = map[string]float64{}
	for i, r := range w.sched.sortedRunners() {
		if i%4 == 1 { // half of the runners that are good for anything
			w.slower[r.ID] = 1.6
		}
	}
	onSlow, urgent := 0, 0
	seen := 0
	for tick := range 600 { // 30 s
		w.send("fill", fmt.Sprintf("f%015d", tick), job.Step{Count: 1, Need: model.Resources{CoresMilli: 2000}, Estimate: 600})
		w.send("urgent", fmt.Sprintf("u%015d", tick), job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 300})
		w.run(50 * time.Millisecond)
		if tick < 300 {
			seen = len(w.trace)
		}
	}
	for _, line := range w.trace[seen:] {
		var task string
		var run int
		var runner string
		if _, err := fmt.Sscanf(afterTime(line), "world: %s run %d begins on %s", &task, &run, &runner); err != nil || task[0] != 'u' {
			continue
		}
		urgent++
		if w.slower[runner] > 0 {
			onSlow++
		}
	}
	if urgent < 250 {
		t.Fatalf("%d urgent tasks began", urgent)
	}
	if onSlow > urgent/10 {
		t.Errorf("%d of %d urgent tasks began on slow runners, fast ones have room", onSlow, urgent)
	}
}

// afterTime cuts the time off a line of the world's history.
func afterTime(line string) string {
	_, rest, _ := strings.Cut(line, ": ")
	return rest
}
