package e2e

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint/standin"
	"github.com/agateyard/agateyard/internal/model"
)

const (
	// impatience is the longest time that an impatient caller waits.
	impatience = 400 * time.Millisecond
	// impatientTries is how often it gives up before it waits for the answer.
	impatientTries = 3
)

// impatient sends a request several times through different processes and gives
// up early each time; a last call without a time limit of its own gets the answer.
func (h *history) impatient(addresses []string, template string, pick int, limits []time.Duration, work standin.Work) call {
	id := newID()
	for try, limit := range limits {
		got := h.postWithin(limit, addresses[(pick+try)%len(addresses)], template, id, work)
		if got.err == nil {
			return got
		}
	}
	return h.post(addresses[(pick+len(limits))%len(addresses)], template, id, work)
}

// postWithin is post by a caller that closes the connection after the limit.
func (h *history) postWithin(limit time.Duration, address, template, id string, work standin.Work) call {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return h.postContext(ctx, address, template, id, work)
}

// checkSpread fails unless enough calls were given up, so that late answers
// were there to be mixed up.
func (h *history) checkSpread(t *testing.T) {
	t.Helper()
	gaveUp := h.count()["error"]
	t.Logf("%d identifiers, %d calls, %d given up", len(h.byID()), len(h.calls), gaveUp)
	if gaveUp < len(h.byID())/4 {
		t.Errorf("only %d calls were given up", gaveUp)
	}
}

// Guards against answers that reach the wrong caller, and against a second run
// of non-idempotent work, when replies arrive late and in another order and
// callers give up and repeat through another process.
func TestLateAnswersAndImpatientCallers(t *testing.T) {
	const seed = 61
	t.Logf("seed %d", seed)
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	for i := range c.opts.runners {
		c.setEndpointFaults(fmt.Sprintf("runner-orders-%04d", i), standin.Faults{DelayRepliesMS: int64(i) * 150})
	}
	h := &history{}
	rnd := rand.New(rand.NewSource(seed))
	addresses := c.live()
	var wg sync.WaitGroup
	for range 400 {
		template := []string{"cut-list", "cutting-run"}[rnd.Intn(2)]
		work := standin.Work{RunMS: rnd.Int63n(60), AnswerBytes: rnd.Intn(20_000)}
		pick := rnd.Int()
		var limits []time.Duration
		for range impatientTries {
			limits = append(limits, time.Duration(5+rnd.Int63n(impatience.Milliseconds()))*time.Millisecond)
		}
		wg.Go(func() {
			if got := h.impatient(addresses, template, pick, limits, work); got.outcome != model.OutcomeRan {
				t.Errorf("%s %s: outcome %q reason %q err %v", template, got.id, got.outcome, got.reason, got.err)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	c.setEndpointFaults("", standin.Faults{})
	h.report(t)
	h.check(t, c.effects(), nonIdempotentTemplates)
	h.checkSpread(t)
	for _, call := range h.calls {
		if call.outcome == model.OutcomeRan && call.echo != call.id {
			t.Errorf("%s: status %d, echo %q", call.id, call.status, call.echo)
		}
	}
}
