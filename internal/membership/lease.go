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

// unreachableAfterFailures is the number of consecutive failed renewals or registrations
// after which the store is reported as unreachable; a single lost reply is not an outage.
const unreachableAfterFailures = 2

// errReleased ends Run after Release.
var errReleased = errors.New("lease was released")

// runLease registers this process and renews its lease. A failed renewal does not end
// the membership; only ErrLeaseGone does.
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
			return m.onLeaseGone(ctx)
		}
		if !m.reportRenewal(ctx, err) {
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

// Confirm renews the lease at once. It returns ErrReplaced if the lease has expired, and
// another error if that is not known.
func (m *Manager) Confirm(ctx context.Context) error {
	m.mu.Lock()
	lease, releasing := m.lease, m.releasing
	m.mu.Unlock()
	if lease == "" {
		return ErrNotJoined
	}
	err := m.cfg.Store.KeepAlive(ctx, lease)
	if errors.Is(err, platform.ErrLeaseGone) && !releasing {
		return ErrReplaced
	}
	return err
}

// onLeaseGone returns ErrReplaced if the lease has expired. If it was revoked by
// Release, it waits until Run ends.
func (m *Manager) onLeaseGone(ctx context.Context) error {
	m.mu.Lock()
	releasing := m.releasing
	m.mu.Unlock()
	if !releasing {
		return ErrReplaced
	}
	<-ctx.Done() // Release ends Run
	return ctx.Err()
}

// reportRenewal passes the result of a renewal or registration to the event loop, or
// returns false if ctx ends first.
func (m *Manager) reportRenewal(ctx context.Context, err error) bool {
	select {
	case m.renewResults <- err:
		return true
	case <-ctx.Done():
		return false
	}
}

// join registers this process. It retries until it succeeds, the incarnation turns out
// to be used already or ctx ends.
func (m *Manager) join(ctx context.Context) error {
	retryDelay := platform.NewBackOff(initialRetryDelay, maxRetryDelay)
	for {
		err := m.register(ctx)
		if err == nil {
			logrus.Infof("membership: registered as %s", m.cfg.Self.Incarnation)
			m.reportRenewal(ctx, nil)
			return nil
		}
		if errors.Is(err, platform.ErrConflict) {
			// The incarnation was already used, perhaps by an earlier attempt of this
			// process whose outcome stayed unknown.
			return ErrReplaced
		}
		if !m.reportRenewal(ctx, err) {
			return ctx.Err()
		}
		logrus.Warnf("membership: registration failed, will retry: %v", err)
		if err = platform.Sleep(ctx, retryDelay.NextBackOff()); err != nil {
			return err
		}
	}
}

// register makes one attempt to obtain a lease and to write the member key.
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
	m.lease, m.memberVersion = lease, version
	return nil
}
