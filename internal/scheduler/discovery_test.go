package scheduler

import (
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// TestDrainEndIsNotMovedByRereads guards against runs that are stopped too late because the entry of a draining runner,
// which is read again after a failed watch, moves the end of the drain each time.
func TestDrainEndIsNotMovedByRereads(t *testing.T) {
	sim := newMixedSimulation(21, 2)
	info := sim.runners["r00"].info
	info.Draining, info.TerminatesIn = true, 3*time.Second
	sim.sched.RunnerListed(info)
	want := sim.sched.runners["r00"].terminatesAt
	for range 5 {
		sim.run(200 * time.Millisecond)
		sim.sched.RunnerListed(info)
	}
	if got := sim.sched.runners["r00"].terminatesAt; got != want {
		t.Errorf("the drain ends at %s, want %s", got, want)
	}
	info.Draining, info.TerminatesIn = false, 0
	sim.sched.RunnerListed(info)
	if got := sim.sched.runners["r00"].terminatesAt; got != 0 {
		t.Errorf("a drain that was withdrawn ends at %s", got)
	}
}

// TestGangAsksAboutReleasedQuarantine guards against a gang that never asks for advice about runners which were quarantined
// when it had asked about all others.
func TestGangAsksAboutReleasedQuarantine(t *testing.T) {
	sim := newMixedSimulation(22, 8)
	for _, r := range sim.sched.sortedRunners()[2:] {
		r.health.quarantine(sim.now)
		r.health.quarantine(sim.now)
	}
	const gang = "g000000000000001"
	sim.submitStep("gang", gang, job.Step{Count: 6, Need: model.Resources{CoresMilli: 4000}, Estimate: 500, Gang: true})
	sim.run(1500 * time.Millisecond)
	if len(sim.history("begins on")) > 0 {
		t.Fatal("the gang has started on quarantined runners")
	}
	sim.mustFinish(t, 15*time.Second)
}

// TestInheritedRunnersStayUntilDiscoveryIsRead guards against a successor that drops thousands of inherited runners, which
// have reported, because it has not read their entries yet, and takes them up again one page later.
func TestInheritedRunnersStayUntilDiscoveryIsRead(t *testing.T) {
	s := New(testConfig(), 2, time.Second, time.UnixMilli(1_700_000_000_000))
	s.RunnerInherited("r", "10.0.0.1:1")
	s.RestoreDone()
	s.Report(Report{Runner: "r", Addr: "10.0.0.1:1", Incarnation: 1, Clock: 1, RequestedAt: time.Second})
	s.Tick()
	if s.RunnerCount() != 1 {
		t.Fatal("the runner is dropped before discovery has been read")
	}
	s.DiscoveryRead()
	s.Tick()
	if s.RunnerCount() != 0 {
		t.Error("a runner that is gone from discovery is kept")
	}
}
