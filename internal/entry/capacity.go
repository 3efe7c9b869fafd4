package entry

import "time"

// capacityInterval is the time between two updates of the pool summaries that
// admission uses.
const capacityInterval = 250 * time.Millisecond

// refreshCapacity passes the current pool summaries to the shard table.
func (l *loop) refreshCapacity(now time.Time) {
	if now.Sub(l.capacityUpdatedAt) < capacityInterval {
		return
	}
	l.capacityUpdatedAt = now
	l.refreshSummaries()
	l.table.SetCapacity(now, l.summaryOrder.list(l.summaries))
}
