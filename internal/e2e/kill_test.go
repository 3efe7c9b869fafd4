package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint/standin"
	"github.com/agateyard/agateyard/internal/model"
)

// takeoverLimit is the aim for shards and pools of a dead process to serve again.
const takeoverLimit = 5 * time.Second

// Guards against doubled or lost work when an entry process dies between
// journal, send and answer, and against a takeover that does not end.
func TestKilledEntryProcessUnderLoad(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	h := &history{}
	var wg sync.WaitGroup
	wg.Go(func() {
		h.load(loadOptions{
			rate: 100, length: 10 * time.Second, runMS: 30, seed: 1, addresses: c.live,
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
	h.checkServedAgain(t, killed.Add(takeoverLimit))
}

// checkServedAgain verifies that every request after the time limit ran.
func (h *history) checkServedAgain(t *testing.T, from time.Time) {
	t.Helper()
	for _, c := range h.calls {
		if c.began.After(from) && c.outcome != model.OutcomeRan {
			t.Errorf("%s after the takeover: outcome %q reason %q err %v", c.template, c.outcome, c.reason, c.err)
		}
	}
}

// Guards against a process that was paused past its lease, was replaced, and
// goes on as if it still owned its shards and pools.
func TestFrozenEntryProcessResumes(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	h := &history{}
	var wg sync.WaitGroup
	wg.Go(func() {
		h.load(loadOptions{
			rate: 60, length: 14 * time.Second, runMS: 30, seed: 2, addresses: c.live,
			templates: []string{"cut-list", "cutting-run"},
		})
	})
	time.Sleep(2 * time.Second)
	c.entries[2].freeze()
	time.Sleep(7 * time.Second)
	c.entries[2].thaw()
	wg.Wait()
	h.report(t)
	h.check(t, c.effects(), nonIdempotentTemplates)
	c.eventually(10*time.Second, "the process joins again", func() bool {
		s, err := c.status(c.entries[0])
		return err == nil && len(s.Members) == 3 && sameView(s)
	})
}

// Guards against a second run of work that was in flight when its shard owner
// and pool owner died: every caller repeats its identifier through another
// process at once.
func TestRepeatsWhileWorkOfADeadOwnerRuns(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	h := &history{}
	var wg sync.WaitGroup
	for i := range 36 {
		template := []string{"cutting-run", "cut-list"}[i%2]
		wg.Go(func() {
			h.caller(loadOptions{runMS: 4000, addresses: c.live}, template, i)
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

// Guards against a second run of a finished non-idempotent request whose owner
// died before its caller repeated it: only the journal can tell.
func TestRepeatsAfterTheOwnerOfFinishedWorkDied(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	h := &history{}
	ids := make([]string, 60)
	var wg sync.WaitGroup
	for i := range ids {
		ids[i] = newID()
		wg.Go(func() { h.post(c.entries[i%3].http, "cutting-run", ids[i], standin.Work{RunMS: 20}) })
	}
	wg.Wait()
	// The pool owners forget confirmed ends, and the endpoints with them.
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

// Guards against a second run of non-idempotent work that had its effect while
// its owner was dead, at endpoints that restarted and forgot it before the
// successor asked them.
func TestRunnersRestartBeforeTheSuccessorAsks(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	h := &history{}
	var wg sync.WaitGroup
	for i := range 36 {
		wg.Go(func() {
			h.caller(loadOptions{runMS: 1000, addresses: c.live}, "cutting-run", i)
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
