package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// slowRunners answer polls late. They count the starts, and the times at which leases were renewed.
type slowRunners struct {
	*fakeRunners
	delay   time.Duration
	mu      sync.Mutex
	starts  int
	renewed []time.Time
}

func (s *slowRunners) Start(ctx context.Context, r scheduler.RunnerRef, req StartRequest) (scheduler.StartOutcome, error) {
	s.mu.Lock()
	s.starts++
	s.mu.Unlock()
	return s.fakeRunners.Start(ctx, r, req)
}

func (s *slowRunners) Poll(ctx context.Context, r scheduler.RunnerRef, req PollRequest) (scheduler.Report, error) {
	s.mu.Lock()
	delay := s.delay
	if req.LeaseEnd > 0 {
		s.renewed = append(s.renewed, time.Now())
	}
	s.mu.Unlock()
	select {
	case <-time.After(delay + req.Wait):
		return s.fakeRunners.Poll(ctx, r, PollRequest{Acknowledged: req.Acknowledged})
	case <-ctx.Done():
		return scheduler.Report{}, ctx.Err()
	}
}

func (s *slowRunners) setDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// TestWorkOfSlowlyReportingRunnerGoesOn guards against runs that are given up, and started elsewhere, because their runner
// answers polls later than the usual time limit: it would never again get a renewal of its leases.
func TestWorkOfSlowlyReportingRunnerGoesOn(t *testing.T) {
	inBubble(t, testWorkOfSlowlyReportingRunnerGoesOn)
}

func testWorkOfSlowlyReportingRunnerGoesOn(t *testing.T) {
	runners := &slowRunners{fakeRunners: newFakeRunners()}
	runners.set(false, true)
	deps := testDeps()
	deps.Runners, deps.Advisor, deps.Directory = runners, allEligibleAdvisor{}, fakeDirectory{}
	store := newMemoryStore()
	putValue(t, store, "op/config", "\x01")
	putValue(t, store, "servers/a", "ready")
	node := startNodeWith(t, deps, store, testWeight)
	eventually(t, 5*time.Second, "an owner that accepts jobs", func() bool { return submit(node, testSpec(1)) == OutcomeStored })
	eventually(t, 2*time.Second, "the run starts", func() bool { state, _ := stateOf(t, node, testSpec(1).ID); return state == job.Running })
	runners.setDelay(800 * time.Millisecond)
	time.Sleep(8 * time.Second) // longer than the lease of 4 s and its margin
	runners.mu.Lock()
	defer runners.mu.Unlock()
	if runners.starts != 1 {
		t.Errorf("the task was started %d times", runners.starts)
	}
	for i := 1; i < len(runners.renewed); i++ {
		if gap := runners.renewed[i].Sub(runners.renewed[i-1]); gap > 3900*time.Millisecond {
			t.Errorf("no lease was renewed for %s", gap)
		}
	}
	if last := time.Since(runners.renewed[len(runners.renewed)-1]); last > 3900*time.Millisecond {
		t.Errorf("no lease was renewed for the last %s", last)
	}
}
