package journal

import (
	"context"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/platform"
)

// ensureLease takes the lease that the next segments are bound to.
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

// forgetLease drops a lease that has lapsed.
func (w *Writer) forgetLease() {
	w.dropLease(w.lease)
	w.lease = ""
}

// dropLease takes a lease that has ended off the list.
func (w *Writer) dropLease(lease platform.LeaseID) {
	w.leaseMu.Lock()
	defer w.leaseMu.Unlock()
	w.leases = slices.DeleteFunc(w.leases, func(l platform.LeaseID) bool { return l == lease })
}

// renewLeases starts a new term of every lease with segments. A failure waits for
// the next round, which is long before the end of the term.
func (w *Writer) renewLeases(ctx context.Context) {
	w.leaseMu.Lock()
	leases := slices.Clone(w.leases)
	w.leaseMu.Unlock()
	for _, lease := range leases {
		if err := w.cfg.Store.KeepAlive(ctx, lease); err != nil {
			logrus.Warnf("journal: can't renew the lease of segments: %v", err)
		}
	}
}
