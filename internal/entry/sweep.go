package entry

import (
	"context"
	"time"

	"github.com/agateyard/agateyard/internal/journal"
)

// sweepInterval is the time between two removals of expired journal tombstones.
// Tombstones expire after a day.
const sweepInterval = time.Hour

// runSweep removes expired journal tombstones. Only the first member of the view
// does this.
func (n *Node) runSweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		v := n.currentView()
		if len(v.Members) == 0 || v.Members[0].Incarnation != n.self.Incarnation {
			continue
		}
		if _, err := journal.Sweep(ctx, n.cfg.Store, time.Now()); err != nil {
			n.log.WithError(err).Warn("journal: can't remove expired tombstones")
		}
	}
}
