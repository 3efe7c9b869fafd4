package e2e

import (
	"bytes"
	"io"
	"sync"
	"testing"

	"github.com/agateyard/agateyard/internal/endpoint/standin"
	"github.com/agateyard/agateyard/internal/model"
)

// Guards against any failure on the path from caller to endpoint and back across
// separate processes, in every zone, for idempotent and non-idempotent requests.
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
	c.checkMetrics()
}

// checkMetrics verifies that a scrape succeeds and has the metrics of each component
// of the process.
func (c *cell) checkMetrics() {
	c.t.Helper()
	resp, err := client.Get("http://" + c.entries[0].http + "/metrics")
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	for _, name := range []string{"agateyard_view_number 1", "agateyard_shards_owned", "agateyard_pool_free", "agateyard_http_requests_total", "agateyard_platform_", "process_cpu_seconds_total"} {
		if !bytes.Contains(text, []byte(name)) {
			c.t.Errorf("status %s, no %s in the metrics", resp.Status, name)
		}
	}
}
