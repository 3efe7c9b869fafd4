package standin

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/platform"
)

type lease struct {
	id       platform.LeaseID
	ttl      time.Duration
	deadline time.Time
	timer    *time.Timer
	keys     map[string]struct{}
}

// GrantLease implements platform.Store.
func (s *Server) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if ttl <= 0 {
		return "", platform.ErrBadRequest
	}
	var id platform.LeaseID
	err := s.write(ctx, platform.CallGrant, func() error {
		s.leaseSeq++
		id = platform.LeaseID(fmt.Sprintf("lease-%d", s.leaseSeq))
		l := &lease{id: id, ttl: ttl, keys: map[string]struct{}{}}
		s.leases[id] = l
		l.timer = time.AfterFunc(ttl, s.lapse)
		s.renew(l)
		return nil
	})
	if err != nil {
		return "", err
	}
	return id, nil
}

// KeepAlive implements platform.Store.
func (s *Server) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	return s.write(ctx, platform.CallKeepAlive, func() error {
		l := s.leases[id]
		if l == nil {
			return platform.ErrLeaseGone
		}
		s.renew(l)
		return nil
	})
}

// Revoke implements platform.Store. Revoking a lease that is gone is no error.
func (s *Server) Revoke(ctx context.Context, id platform.LeaseID) error {
	return s.write(ctx, platform.CallRevoke, func() error {
		if l := s.leases[id]; l != nil {
			s.drop(l)
		}
		return nil
	})
}

// ExpireLease ends the lease that the key is bound to, as if its holder had been
// paused. It reports whether there was one.
func (s *Server) ExpireLease(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		if _, ok := l.keys[key]; ok {
			s.drop(l)
			return true
		}
	}
	return false
}

// renew starts a new term of a lease; the caller holds the lock.
func (s *Server) renew(l *lease) {
	l.deadline = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
}

func (s *Server) renewAll() {
	for _, l := range s.leases {
		s.renew(l)
	}
}

// lapse is called by the timers of the leases.
func (s *Server) lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down() {
		s.lapseDue()
	}
}

// lapseDue drops the leases whose term is over; the caller holds the lock.
func (s *Server) lapseDue() {
	now := time.Now()
	for _, l := range s.leases {
		if !now.Before(l.deadline) {
			s.drop(l)
		}
	}
}

// drop ends a lease and deletes its keys; the caller holds the lock.
func (s *Server) drop(l *lease) {
	l.timer.Stop()
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.remove(key)
	}
	delete(s.leases, l.id)
}
