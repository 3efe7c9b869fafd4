package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint/standin"
	"github.com/agateyard/agateyard/internal/model"
)

// takeoverLimit is the time limit until the shards and pools of a killed process
// are served again.
const takeoverLimit = 5 * time.Second

// Guards against duplicate or lost work when an entry process is killed between the
// journal write, the dispatch and the answer, and against a takeover that does not
// complete.
func TestKilledEntryProcessUnderLoad(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	h := &history{}
	var wg sync.WaitGroup
	wg.Go(func() {
		h.load(loadOptions{
			rate: 100, duration: 10 * time.Second, runMS: 30, seed: 1, addresses: c.live,
			templates: []string{"cut-list", "cutting-run", "quote-render"},
		})
	})
	time.Sleep(3 * time.Second)
	killed := time.Now()
	c.entries[1].kill()
	c.eventually(takeoverLimit, "all shards have owners again", func() bool {
		s, err := c.status(c.entries[0])
		return err == nil && len(s.Members) == 2 && sameView(s)
	})
	t.Logf("shards owned again after %v", time.Since(killed).Round(10*time.Millisecond))
	wg.Wait()
	h.report(t)
	h.check(t, c.effects(), nonIdempotentTemplates)
	h.checkRecovered(t, killed.Add(takeoverLimit))
}

// checkRecovered verifies that every request sent after the given time ran.
func (h *history) checkRecovered(t *testing.T, from time.Time) {
	t.Helper()
	for _, c := range h.calls {
		if c.start.After(from) && c.outcome != model.OutcomeRan {
			t.Errorf("%s after the takeover: outcome %q reason %q err %v", c.template, c.outcome, c.reason, c.err)
		}
	}
}

// Guards against a process that is paused until its lease expires and another one
// takes over, and that then resumes as if it still owned its shards and pools.
func TestPausedEntryProcessResumes(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	h := &history{}
	var wg sync.WaitGroup
	wg.Go(func() {
		h.load(loadOptions{
			rate: 60, duration: 14 * time.Second, runMS: 30, seed: 2, addresses: c.live,
			templates: []string{"cut-list", "cutting-run"},
		})
	})
	time.Sleep(2 * time.Second)
	c.entries[2].pause()
	time.Sleep(7 * time.Second)
	c.entries[2].resume()
	wg.Wait()
	h.report(t)
	h.check(t, c.effects(), nonIdempotentTemplates)
	c.eventually(10*time.Second, "the process has rejoined", func() bool {
		s, err := c.status(c.entries[0])
		return err == nil && len(s.Members) == 3 && sameView(s)
	})
}

// Guards against a second run of work that was running when its shard owner and
// pool owner were killed. Callers whose calls fail resubmit their identifiers
// through another process right away.
func TestResubmissionWhileWorkOfKilledOwnerRuns(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	h := &history{}
	var wg sync.WaitGroup
	for i := range 36 {
		template := []string{"cutting-run", "cut-list"}[i%2]
		wg.Go(func() {
			h.submitUntilFinal(loadOptions{runMS: 4000, addresses: c.live}, template, i)
		})
	}
	time.Sleep(1500 * time.Millisecond)
	c.entries[0].kill()
	wg.Wait()
	h.report(t)
	h.check(t, c.effects(), nonIdempotentTemplates)
	for id, calls := range h.byID() {
		last := calls[len(calls)-1]
		if last.outcome != model.OutcomeRan {
			t.Errorf("%s %s: last answer %q %q err %v", last.template, id, last.outcome, last.reason, last.err)
		}
	}
}

// Guards against a second run of a finished non-idempotent request that is
// resubmitted after its owner was killed. The endpoints no longer report it and the
// pool records of the killed process are lost, so for work in the pools of that
// process only the journal shows that it ran.
func TestResubmissionAfterOwnerOfFinishedWorkDied(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	h := &history{}
	ids := make([]string, 60)
	var wg sync.WaitGroup
	for i := range ids {
		ids[i] = newID()
		wg.Go(func() { h.post(c.entries[i%3].http, "cutting-run", ids[i], standin.Work{RunMS: 20}) })
	}
	wg.Wait()
	// Wait until the completions have been acknowledged to the endpoints, which then
	// stop reporting them.
	time.Sleep(4 * time.Second)
	c.entries[0].kill()
	c.eventually(takeoverLimit, "all shards have owners again", func() bool {
		s, err := c.status(c.entries[1])
		return err == nil && len(s.Members) == 2 && sameView(s)
	})
	for i, id := range ids {
		wg.Go(func() { h.post(c.entries[1+i%2].http, "cutting-run", id, standin.Work{RunMS: 20}) })
	}
	wg.Wait()
	h.report(t)
	h.check(t, c.effects(), nonIdempotentTemplates)
	for _, call := range h.calls {
		if call.outcome != model.OutcomeRan || call.echo != call.id {
			t.Errorf("%s: %q %q echo %q err %v", call.id, call.outcome, call.reason, call.echo, call.err)
		}
	}
}

// Guards against a second run of non-idempotent work whose first run took effect
// after its owner had been killed. The endpoints restart, and so lose their record
// of the work, before the new owner queries them.
func TestRunnersRestartBeforeSuccessorRecovers(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	h := &history{}
	var wg sync.WaitGroup
	for i := range 36 {
		wg.Go(func() {
			h.submitUntilFinal(loadOptions{runMS: 1000, addresses: c.live}, "cutting-run", i)
		})
	}
	time.Sleep(600 * time.Millisecond)
	c.entries[0].kill()
	time.Sleep(time.Second)
	for i := range 6 {
		c.restartEndpoint(fmt.Sprintf("runner-orders-%04d", i))
	}
	wg.Wait()
	h.report(t)
	h.check(t, c.effects(), nonIdempotentTemplates)
	for id, calls := range h.byID() {
		last := calls[len(calls)-1]
		if last.outcome != model.OutcomeRan && last.outcome != model.OutcomeUnknown {
			t.Errorf("%s: last answer %q %q err %v", id, last.outcome, last.reason, last.err)
		}
	}
}
