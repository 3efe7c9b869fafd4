package standin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/platform"
)

// Watch implements platform.Store.
func (s *Server) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (platform.Changes, error) {
	if err := s.admit(ctx, platform.CallWatch); err != nil {
		return platform.Changes{}, err
	}
	s.addPending(1)
	defer s.addPending(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	expired := false
	for {
		changes, ready, wake, err := s.poll(prefix, after, expired)
		if ready || err != nil {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return platform.Changes{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
		case <-timer.C:
			expired = true
		case <-wake:
		}
	}
}

func (s *Server) addPending(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.PendingWatches += n
}

// poll returns the changes if there are any or the wait time has passed, else a
// channel that is closed on the next change.
func (s *Server) poll(prefix string, after uint64, expired bool) (platform.Changes, bool, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down() {
		return platform.Changes{}, false, nil, platform.ErrUnavailable
	}
	if s.faults.StallWatches {
		return platform.Changes{}, false, s.changed, nil
	}
	if after < s.trimmed || after > s.revision {
		return platform.Changes{Revision: s.revision, Reset: true}, true, nil, nil
	}
	changes := s.changesAfter(prefix, after)
	return changes, expired || len(changes.Entries) > 0, s.changed, nil
}

// changesAfter returns the latest state of each changed key, up to pageBytes; the
// caller holds the lock.
func (s *Server) changesAfter(prefix string, after uint64) platform.Changes {
	start, _ := slices.BinarySearchFunc(s.history, after+1, func(e platform.Entry, v uint64) int {
		if e.Version < v {
			return -1
		}
		return min(1, int(e.Version-v))
	})
	last := map[string]uint64{}
	for _, e := range s.history[start:] {
		if strings.HasPrefix(e.Key, prefix) {
			last[e.Key] = e.Version
		}
	}
	changes := platform.Changes{Revision: s.revision}
	size := 0
	for _, e := range s.history[start:] {
		if last[e.Key] != e.Version {
			continue
		}
		size += len(e.Value)
		if size > pageBytes && len(changes.Entries) > 0 {
			changes.Revision = changes.Entries[len(changes.Entries)-1].Version
			break
		}
		changes.Entries = append(changes.Entries, e)
	}
	return changes
}
