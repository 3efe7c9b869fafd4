package e2e

import (
	"sync"
	"testing"

	"github.com/agateyard/agateyard/internal/endpoint/standin"
	"github.com/agateyard/agateyard/internal/model"
)

// Guards against any break of the path from caller to endpoint and back over
// separate processes, in every zone and for both kinds of requests.
func TestRequestsRunThroughEveryEntryProcess(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	h := &history{}
	var wg sync.WaitGroup
	for i := range 90 {
		template := []string{"cut-list", "cutting-run", "quote-render"}[i%3]
		address := c.entries[i/3%3].http
		wg.Go(func() {
			got := h.post(address, template, newID(), standin.Work{RunMS: 20})
			if got.outcome != model.OutcomeRan {
				t.Errorf("%s: outcome %q reason %q status %d err %v", template, got.outcome, got.reason, got.status, got.err)
			}
		})
	}
	wg.Wait()
	h.check(t, c.effects(), nonIdempotentTemplates)
}
