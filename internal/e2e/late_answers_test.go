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
	// earlyTimeoutRange is the width of the range of random timeouts of the early
	// calls. The shortest timeout is 5 ms.
	earlyTimeoutRange = 400 * time.Millisecond
	// earlyTimeouts is the number of calls with an early timeout for each request.
	earlyTimeouts = 3
)

// postWithTimeouts submits a request once per timeout, each time through another
// entry process, until a call is answered. If none is, a last call without such a
// timeout gets the answer.
func (h *history) postWithTimeouts(addresses []string, template string, pick int, timeouts []time.Duration, work standin.Work) call {
	id := newID()
	for try, timeout := range timeouts {
		got := h.postWithTimeout(timeout, addresses[(pick+try)%len(addresses)], template, id, work)
		if got.err == nil {
			return got
		}
	}
	return h.post(addresses[(pick+len(timeouts))%len(addresses)], template, id, work)
}

// postWithTimeout is post by a caller that closes the connection after the timeout.
func (h *history) postWithTimeout(timeout time.Duration, address, template, id string, work standin.Work) call {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return h.postContext(ctx, address, template, id, work)
}

// checkTimeoutCount fails unless enough calls timed out. Without late answers the
// test could not detect answers that reach the wrong caller.
func (h *history) checkTimeoutCount(t *testing.T) {
	t.Helper()
	timedOut := h.count()["error"]
	t.Logf("%d identifiers, %d calls, %d timed out", len(h.byID()), len(h.calls), timedOut)
	if timedOut < len(h.byID())/4 {
		t.Errorf("only %d calls timed out", timedOut)
	}
}

// Guards against answers that reach the wrong caller, and against a second run of
// non-idempotent work. Replies of the runners arrive late and out of order, and
// callers time out and submit again through another process.
func TestLateAnswersAndCallerTimeouts(t *testing.T) {
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
		var timeouts []time.Duration
		for range earlyTimeouts {
			timeouts = append(timeouts, time.Duration(5+rnd.Int63n(earlyTimeoutRange.Milliseconds()))*time.Millisecond)
		}
		wg.Go(func() {
			if got := h.postWithTimeouts(addresses, template, pick, timeouts, work); got.outcome != model.OutcomeRan {
				t.Errorf("%s %s: outcome %q reason %q err %v", template, got.id, got.outcome, got.reason, got.err)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	c.setEndpointFaults("", standin.Faults{})
	h.report(t)
	h.check(t, c.effects(), nonIdempotentTemplates)
	h.checkTimeoutCount(t)
	for _, call := range h.calls {
		if call.outcome == model.OutcomeRan && call.echo != call.id {
			t.Errorf("%s: status %d, echo %q", call.id, call.status, call.echo)
		}
	}
}
