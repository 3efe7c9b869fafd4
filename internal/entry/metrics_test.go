package entry

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/agateyard/agateyard/internal/configstore"
	"github.com/agateyard/agateyard/internal/journal"
)

// Guards against journal metrics that no scrape shows, and against a scrape that fails
// because of metrics that were not described.
func TestCollectorExportsJournalMetrics(t *testing.T) {
	ended := make(chan struct{})
	close(ended) // the event loop doesn't answer
	p := &Process{}
	p.node.Store(&Node{
		loop: &loop{}, done: ended, config: configstore.NewCache(configstore.Options{}), journal: journal.NewWriter(journal.Config{}),
	})
	registry := prometheus.NewRegistry()
	registry.MustRegister(NewCollector(p))
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == "agateyard_journal_append_seconds" {
			return
		}
	}
	t.Errorf("no journal metrics among %v", families)
}
