package entry

import "time"

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
	l.table.SetCapacity(now, l.summaryOrder.list(l.summaries))
}
