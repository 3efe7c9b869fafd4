package e2e

import (
	"sync"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	partitionDuration = 5 * time.Second
	// partitionRecovery is the time after a partition by which every request must run
	// again.
	partitionRecovery = 5 * time.Second
	// partitionAnswerLimit limits the time to an answer: max_wait plus run_limit of
	// the templates.
	partitionAnswerLimit = 15 * time.Second
)

// Guards against duplicate runs, wrong answers and a stall of the whole cell when
// one entry process and its peers can't reach each other.
func TestEntryProcessPartitioned(t *testing.T) { testPartition(t, true, false, 31) }

// Guards against the same failures when only the traffic from the process is
// stalled: it receives requests and grants, but its answers reach no peer.
func TestEntryProcessPartitionedOneWay(t *testing.T) { testPartition(t, false, false, 32) }

// Guards against the same failures when calls between processes are lost: the
// partition ends with a reset of all connections, and data in flight never arrives.
func TestEntryProcessPartitionedAndReset(t *testing.T) { testPartition(t, true, true, 33) }

func testPartition(t *testing.T, both, reset bool, seed int64) {
	t.Logf("seed %d", seed)
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6, useLinks: true})
	h := &history{}
	var wg sync.WaitGroup
	wg.Go(func() {
		h.load(loadOptions{
			rate: 60, duration: 14 * time.Second, runMS: 40, seed: seed, addresses: c.live,
			templates: []string{"cut-list", "cutting-run"},
		})
	})
	time.Sleep(2 * time.Second)
	isolated := c.entries[1]
	start := time.Now()
	c.links.isolate(isolated, both)
	time.Sleep(partitionDuration)
	if reset {
		c.links.reset()
	}
	c.links.heal()
	end := time.Now()
	wg.Wait()
	h.report(t)
	h.check(t, c.effects(), nonIdempotentTemplates)
	h.checkPartition(t, isolated.http, start, end)
	c.eventually(10*time.Second, "same view with all members", func() bool {
		s, err := c.status(c.entries[0])
		return err == nil && len(s.Members) == 3 && sameView(s)
	})
}

// checkPartition verifies that the other processes kept working during the
// partition. The isolated process owns a third of the shards, so at least half of
// the requests through other processes must run before the partition ends.
func (h *history) checkPartition(t *testing.T, isolated string, start, end time.Time) {
	t.Helper()
	type tally struct{ calls, ran int }
	var throughOthers, throughIsolated tally
	var longest time.Duration
	for _, c := range h.calls {
		longest = max(longest, c.duration)
		if c.start.After(end.Add(partitionRecovery)) && c.outcome != model.OutcomeRan {
			t.Errorf("%s %v after the partition: outcome %q reason %q err %v", c.template, c.start.Sub(end), c.outcome, c.reason, c.err)
		}
		if c.start.Before(start) || c.start.After(end.Add(-time.Second)) {
			continue
		}
		to := &throughOthers
		if c.address == isolated {
			to = &throughIsolated
		}
		to.calls++
		if c.outcome == model.OutcomeRan && c.start.Add(c.duration).Before(end) {
			to.ran++
		}
	}
	t.Logf("during the partition, calls that ran before its end: %d of %d through other processes, %d of %d through the isolated one; longest answer %v",
		throughOthers.ran, throughOthers.calls, throughIsolated.ran, throughIsolated.calls, longest.Round(time.Millisecond))
	if throughOthers.calls == 0 || throughOthers.ran < throughOthers.calls/2 {
		t.Errorf("only %d of %d calls through other processes ran during the partition", throughOthers.ran, throughOthers.calls)
	}
	if longest > partitionAnswerLimit {
		t.Errorf("an answer took %v", longest)
	}
}
