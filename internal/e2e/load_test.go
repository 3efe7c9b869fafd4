package e2e

import (
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint/standin"
	"github.com/agateyard/agateyard/internal/model"
)

// callerRetries bounds how often a caller sends an identifier again.
const callerRetries = 6

// loadOptions describe callers that work while failures happen.
type loadOptions struct {
	rate      int // requests a second
	length    time.Duration
	stop      <-chan struct{} // ends the load early; nil for never
	runMS     int64
	templates []string
	seed      int64
	// addresses returns the entry processes that the balancer would use now.
	addresses func() []string
}

// load sends requests at a steady rate. A caller without a certain answer sends
// its identifier again through another entry process, as callers do.
func (h *history) load(o loadOptions) {
	rnd := rand.New(rand.NewSource(o.seed))
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(o.rate))
	defer ticker.Stop()
	end := time.Now().Add(o.length)
	for time.Now().Before(end) {
		select {
		case <-o.stop:
			wg.Wait()
			return
		case <-ticker.C:
		}
		template := o.templates[rnd.Intn(len(o.templates))]
		pick := rnd.Int()
		wg.Go(func() { h.caller(o, template, pick) })
	}
	wg.Wait()
}

// caller sends one request until its outcome is certain.
func (h *history) caller(o loadOptions, template string, pick int) {
	id := newID()
	for try := range callerRetries {
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

// live returns the HTTP addresses of entry processes that have not ended.
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

// report logs what callers were told.
func (h *history) report(t *testing.T) {
	t.Helper()
	counts := h.count()
	reasons := make(map[string]int)
	for _, c := range h.calls {
		if c.outcome != model.OutcomeRan {
			reasons[string(c.outcome)+" "+c.reason]++
		}
	}
	t.Logf("outcomes %v, other than ran %v", counts, reasons)
}
