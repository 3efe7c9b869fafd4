package scheduler

import (
	"testing"
	"time"
)

// TestStrayLeaseAfterRestart guards against a task that runs twice: a late call for an incarnation that has ended extended the
// lease of the next one, up to the longest lease, while the owner counted on the leases that it had sent itself.
func TestStrayLeaseAfterRestart(t *testing.T) {
	own, longest := 4890*time.Millisecond, 10_500*time.Millisecond // leases with clock error and margin, as in testConfig
	for name, c := range map[string]struct {
		restarts bool
		raiseAt  time.Duration // when the fence is raised after the restart is known; -1: never
		lost     bool          // contact was lost before, so that the fence is raised already
		want     time.Duration // from the restart, or without one from the last lease, to the end of the run
	}{
		"no restart":        {false, 0, false, own},
		"raised before":     {true, -1, true, longest},
		"raised at once":    {true, 0, false, longest + 100*time.Millisecond},
		"raised later":      {true, 250 * time.Millisecond, false, longest + 300*time.Millisecond},
		"not raised at all": {true, -1, false, longest + 900*time.Millisecond},
	} {
		s, x := restartedRun(t)
		s.LeaseSent("r1")
		began := s.now
		if c.lost {
			s.FenceRaised("r1")
		}
		if c.restarts {
			began = s.after(10 * time.Millisecond)
			report := Report{
				Runner: "r1", Addr: "a:1", Incarnation: 2000, RequestedAt: s.now, FenceGeneration: s.FenceGeneration("r1"),
				Running: []RunningRun{{Task: x.task.id(), Run: x.number, Usage: -1}},
			}
			if raise := s.Report(report); raise == c.lost {
				t.Errorf("%s: the fence has to be raised: %t", name, raise)
			}
			for since := time.Duration(0); since <= 900*time.Millisecond; since += 50 * time.Millisecond {
				if since == c.raiseAt {
					s.FenceRaised("r1")
				}
				if since > 0 && since%(100*time.Millisecond) == 0 {
					report.Clock, report.RequestedAt, report.FenceGeneration = since.Milliseconds(), s.now, s.FenceGeneration("r1")
					s.Report(report)
				}
				s.after(50 * time.Millisecond)
			}
		}
		s.RunnerUnreachable(x.runner.ref(), ContactLoss{Reason: "no answer"})
		for x.runner.runs[x.key()] == x && s.now < began+time.Minute {
			s.after(10 * time.Millisecond)
			s.Tick()
		}
		if took := s.now - began; took < c.want || took > c.want+20*time.Millisecond {
			t.Errorf("%s: the run ends after %s, want %s", name, took, c.want)
		}
	}
}

// TestSuccessorCountsStrayLeases guards against a task that runs twice after a change of owner: the predecessor knew that a runner
// had just started again, so that its lease may be longer than those that owners send. Other silent runners delay nothing.
func TestSuccessorCountsStrayLeases(t *testing.T) {
	wall := time.UnixMilli(1_800_000_000_000)
	for name, c := range map[string]struct {
		age  time.Duration // of the incarnation in the runner's entry, by the time of day
		want time.Duration
	}{
		"long ago":         {time.Minute, 7890 * time.Millisecond},
		"just now":         {2 * time.Second, 10_500 * time.Millisecond},
		"some seconds ago": {7 * time.Second, 8500 * time.Millisecond},
		"clock is behind":  {-2 * time.Second, 10_500 * time.Millisecond},
		"clock is far off": {-time.Minute, 7890 * time.Millisecond},
	} {
		s := New(testConfig(), 2, time.Hour, wall)
		s.RunnerInherited("r", "10.0.0.1:1")
		s.RestoreDone()
		s.RunnerListed(RunnerInfo{ID: "r", Addr: "10.0.0.1:1", Service: "s", Incarnation: wall.Add(-c.age).UnixMilli()})
		began := s.now
		for s.awaitsInheritedRunners() && s.now < began+time.Minute {
			s.after(10 * time.Millisecond)
			s.Tick()
		}
		if took := s.now - began; took != c.want {
			t.Errorf("%s: the runner is waited for %s, want %s", name, took, c.want)
		}
	}
}

// TestSuccessorCountsStrayLeasesOfReachedRunners guards against the same for a runner that answers the successor, before its entry is
// read, and then falls silent.
func TestSuccessorCountsStrayLeasesOfReachedRunners(t *testing.T) {
	wall := time.UnixMilli(1_800_000_000_000)
	for age, want := range map[time.Duration]time.Duration{2 * time.Second: 10_500 * time.Millisecond, time.Minute: 7890 * time.Millisecond} {
		s := New(testConfig(), 2, time.Hour, wall)
		s.RunnerInherited("r", "10.0.0.1:1")
		s.RestoreDone()
		s.Report(Report{Runner: "r", Addr: "10.0.0.1:1", Incarnation: wall.Add(-age).UnixMilli(), Clock: 1, RequestedAt: s.now})
		if left := s.runners["r"].leaseExpiresAt - s.now; left != want {
			t.Errorf("born %s ago: the leases count for %s, want %s", age, left, want)
		}
	}
}
