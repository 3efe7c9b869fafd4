package journal

import (
	"context"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/platform"
)

// ensureLease obtains a lease for the next segments, unless there is one.
func (w *Writer) ensureLease(ctx context.Context) error {
	if w.lease != "" {
		return nil
	}
	lease, err := w.cfg.Store.GrantLease(ctx, segmentLeaseTTL)
	if err != nil {
		return err
	}
	w.useLease(lease)
	return nil
}

// useLease binds the following segments to the lease.
func (w *Writer) useLease(lease platform.LeaseID) {
	w.lease = lease
	w.leaseMu.Lock()
	defer w.leaseMu.Unlock()
	w.leases = append(w.leases, lease)
}

// discardLease discards the current lease after it has expired.
func (w *Writer) discardLease() {
	w.removeLease(w.lease)
	w.lease = ""
}

// removeLease removes a lease that has ended from the list.
func (w *Writer) removeLease(lease platform.LeaseID) {
	w.leaseMu.Lock()
	defer w.leaseMu.Unlock()
	w.leases = slices.DeleteFunc(w.leases, func(l platform.LeaseID) bool { return l == lease })
}

// renewLeases renews every lease that segments are bound to. A failed renewal is
// retried in the next round, long before the lease expires.
func (w *Writer) renewLeases(ctx context.Context) {
	w.leaseMu.Lock()
	leases := slices.Clone(w.leases)
	w.leaseMu.Unlock()
	for _, lease := range leases {
		if err := w.cfg.Store.KeepAlive(ctx, lease); err != nil {
			logrus.Warnf("journal: can't renew a segment lease: %v", err)
		}
	}
}
