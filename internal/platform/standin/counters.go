package standin

import (
	"maps"

	"github.com/agateyard/agateyard/internal/platform"
)

// Counters holds the counters and sizes of the stand-in. Calls that are refused for
// an outage or a rate limit are counted too.
type Counters struct {
	Calls          map[platform.Call]int64 `json:"calls"`
	Writes         int64                   `json:"writes"`
	Reads          int64                   `json:"reads"` // a watch counts as one
	Throttled      int64                   `json:"throttled"`
	PendingWatches int                     `json:"pending_watches"`
	Keys           int                     `json:"keys"`
	Leases         int                     `json:"leases"`
	Revision       uint64                  `json:"revision"`
}

// Counters returns the current counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.Calls = maps.Clone(c.Calls)
	c.Keys, c.Leases, c.Revision = s.keys.Len(), len(s.leases), s.revision
	return c
}

// count counts a call; the caller holds the lock.
func (s *Server) count(call platform.Call) {
	s.counters.Calls[call]++
	if call.Writes() {
		s.counters.Writes++
	} else {
		s.counters.Reads++
	}
}
