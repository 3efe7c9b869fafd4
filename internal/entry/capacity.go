package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// capacityInterval is the time between two updates of what admission knows of
// the pools.
const capacityInterval = 250 * time.Millisecond

// refreshCapacity tells the shard table of the pools.
func (l *loop) refreshCapacity(now time.Time) {
	if now.Sub(l.capacityAt) < capacityInterval {
		return
	}
	l.capacityAt = now
	l.refreshSummaries()
	summaries := make([]model.PoolSummary, 0, len(l.summaries))
	for _, id := range slices.Sorted(maps.Keys(l.summaries)) {
		summaries = append(summaries, l.summaries[id])
	}
	l.table.SetCapacity(now, summaries)
}
