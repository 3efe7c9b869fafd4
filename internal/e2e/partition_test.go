package e2e

import (
	"sync"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	cutLength = 5 * time.Second
	// cutRecovery is the time after a cut by which every request must run again.
	cutRecovery = 5 * time.Second
	// cutAnswerLimit bounds an answer: max_wait of the templates plus run_limit.
	cutAnswerLimit = 15 * time.Second
)

// Guards against doubled work, wrong answers and a standstill of the whole cell
// when one entry process and its peers can't reach each other.
func TestEntryProcessCutOff(t *testing.T) { cutOff(t, true, false, 31) }

// Guards against the same when only what the process sends is lost: it gets
// requests and grants, and nobody gets its answers.
func TestEntryProcessCutOffOneWay(t *testing.T) { cutOff(t, false, false, 32) }

// Guards against calls between processes that are lost for good: the cut ends
// with a reset of all connections, and what was under way never arrives.
func TestEntryProcessCutOffAndReset(t *testing.T) { cutOff(t, true, true, 33) }

func cutOff(t *testing.T, both, reset bool, seed int64) {
	t.Logf("seed %d", seed)
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6, links: true})
	h := &history{}
	var wg sync.WaitGroup
	wg.Go(func() {
		h.load(loadOptions{
			rate: 60, length: 14 * time.Second, runMS: 40, seed: seed, addresses: c.live,
			templates: []string{"cut-list", "cutting-run"},
		})
	})
	time.Sleep(2 * time.Second)
	cut := c.entries[1]
	began := time.Now()
	c.links.isolate(cut, both)
	time.Sleep(cutLength)
	if reset {
		c.links.reset()
	}
	c.links.heal()
	ended := time.Now()
	wg.Wait()
	h.report(t)
	h.check(t, c.effects(), nonIdempotentTemplates)
	h.checkCut(t, cut.http, began, ended)
	c.eventually(10*time.Second, "one view of all", func() bool {
		s, err := c.status(c.entries[0])
		return err == nil && len(s.Members) == 3 && sameView(s)
	})
}

// checkCut verifies that the other processes went on during the cut. A third of
// the shards has its owner on the far side, so at least half of the requests
// must be answered there before the cut ends.
func (h *history) checkCut(t *testing.T, cut string, began, ended time.Time) {
	t.Helper()
	type tally struct{ calls, ran int }
	var others, inside tally
	var longest time.Duration
	for _, c := range h.calls {
		longest = max(longest, c.took)
		if c.began.After(ended.Add(cutRecovery)) && c.outcome != model.OutcomeRan {
			t.Errorf("%s %v after the cut: outcome %q reason %q err %v", c.template, c.began.Sub(ended), c.outcome, c.reason, c.err)
		}
		if c.began.Before(began) || c.began.After(ended.Add(-time.Second)) {
			continue
		}
		to := &others
		if c.address == cut {
			to = &inside
		}
		to.calls++
		if c.outcome == model.OutcomeRan && c.began.Add(c.took).Before(ended) {
			to.ran++
		}
	}
	t.Logf("during the cut %d of %d calls through other processes ran before its end, %d of %d through the one cut off; longest answer %v",
		others.ran, others.calls, inside.ran, inside.calls, longest.Round(time.Millisecond))
	if others.calls == 0 || others.ran < others.calls/2 {
		t.Errorf("only %d of %d calls through other processes ran during the cut", others.ran, others.calls)
	}
	if longest > cutAnswerLimit {
		t.Errorf("an answer took %v", longest)
	}
}
