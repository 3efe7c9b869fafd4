package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/platform"
)

// failuresUntilUnreachable is the number of renewals that must fail in a row before
// the store counts as unreachable; one lost reply is no outage.
const failuresUntilUnreachable = 2

// errReleased ends Run after Release.
var errReleased = errors.New("lease was released")

// runLease registers this process and renews its lease. A failed renewal alone ends
// nothing; only ErrLeaseGone does.
func (m *Manager) runLease(ctx context.Context) error {
	if err := m.join(ctx); err != nil {
		return err
	}
	for {
		// The jitter spreads the renewals of processes that started together.
		if err := platform.Sleep(ctx, jittered(m.cfg.RenewInterval)); err != nil {
			return err
		}
		err := m.renew(ctx)
		if errors.Is(err, platform.ErrLeaseGone) {
			return m.leaseGone(ctx)
		}
		if !m.report(ctx, err) {
			return ctx.Err()
		}
	}
}

// jittered returns between 80% and 100% of d.
func jittered(d time.Duration) time.Duration {
	return d - rand.N(d/5+1)
}

func (m *Manager) renew(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, m.cfg.RenewInterval)
	defer cancel()
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	return m.cfg.Store.KeepAlive(callCtx, lease)
}

// leaseGone tells a released lease from one that has lapsed.
func (m *Manager) leaseGone(ctx context.Context) error {
	m.mu.Lock()
	releasing := m.releasing
	m.mu.Unlock()
	if !releasing {
		return ErrReplaced
	}
	<-ctx.Done() // Release ends Run
	return ctx.Err()
}

// report hands the result of a renewal to the event loop, or returns false when ctx has ended.
func (m *Manager) report(ctx context.Context, err error) bool {
	select {
	case m.renewed <- err:
		return true
	case <-ctx.Done():
		return false
	}
}

// join takes a lease and writes the member key, until it succeeds or ctx ends.
func (m *Manager) join(ctx context.Context) error {
	retry := platform.NewBackOff(firstRetry, maxRetry)
	for {
		err := m.register(ctx)
		if err == nil {
			logrus.Infof("membership: registered as %s", m.cfg.Self.Incarnation)
			m.report(ctx, nil)
			return nil
		}
		if errors.Is(err, platform.ErrConflict) {
			return ErrReplaced // the incarnation is not new
		}
		if !m.report(ctx, err) {
			return ctx.Err()
		}
		logrus.Warnf("membership: can't register yet: %v", err)
		if err = platform.Sleep(ctx, retry.NextBackOff()); err != nil {
			return err
		}
	}
}

// register makes one attempt to take a lease and to write the member key.
func (m *Manager) register(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, m.cfg.LeaseTTL)
	defer cancel()
	lease, err := m.cfg.Store.GrantLease(callCtx, m.cfg.LeaseTTL)
	if err != nil {
		return err
	}
	r := memberRecord{Member: m.cfg.Self, Change: uuid.NewString()}
	version, err := platform.PutWithReadBack(callCtx, m.cfg.Store, memberPrefix+m.cfg.Self.Incarnation, encode(r),
		platform.PutOptions{IfVersion: platform.CreateOnly, Lease: lease}, r.Change, memberChange)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease, m.version = lease, version
	return nil
}
