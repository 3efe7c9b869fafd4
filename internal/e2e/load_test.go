package e2e

import (
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint/standin"
	"github.com/agateyard/agateyard/internal/model"
)

// maxSubmissions limits how often a caller submits an identifier.
const maxSubmissions = 6

// loadOptions describe the load during a test.
type loadOptions struct {
	rate      int // requests per second
	duration  time.Duration
	stop      <-chan struct{} // ends the load early; nil for never
	runMS     int64
	templates []string
	seed      int64
	// addresses returns the entry processes that a load balancer would currently use.
	addresses func() []string
}

// load sends requests at a constant rate. A caller that receives not-run or no answer
// submits its identifier again through another entry process.
func (h *history) load(o loadOptions) {
	rnd := rand.New(rand.NewSource(o.seed))
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(o.rate))
	defer ticker.Stop()
	deadline := time.Now().Add(o.duration)
	for time.Now().Before(deadline) {
		select {
		case <-o.stop:
			wg.Wait()
			return
		case <-ticker.C:
		}
		template := o.templates[rnd.Intn(len(o.templates))]
		pick := rnd.Int()
		wg.Go(func() { h.submitUntilFinal(o, template, pick) })
	}
	wg.Wait()
}

// submitUntilFinal submits one request until its outcome is ran or unknown, at most
// maxSubmissions times.
func (h *history) submitUntilFinal(o loadOptions, template string, pick int) {
	id := newID()
	for try := range maxSubmissions {
		addresses := o.addresses()
		if len(addresses) == 0 {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		got := h.post(addresses[(pick+try)%len(addresses)], template, id, standin.Work{RunMS: o.runMS})
		if got.err == nil && got.outcome == model.OutcomeRan {
			return
		}
		if got.err == nil && got.outcome == model.OutcomeUnknown {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// live returns the HTTP addresses of the entry processes that have not exited.
func (c *cell) live() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, e := range c.entries {
		select {
		case <-e.done:
		default:
			out = append(out, e.http)
		}
	}
	return out
}

// report logs the outcomes that callers received.
func (h *history) report(t *testing.T) {
	t.Helper()
	counts := h.count()
	reasons := make(map[string]int)
	for _, c := range h.calls {
		if c.outcome != model.OutcomeRan {
			reasons[string(c.outcome)+" "+c.reason]++
		}
	}
	t.Logf("outcomes %v, reasons if not ran %v", counts, reasons)
}
