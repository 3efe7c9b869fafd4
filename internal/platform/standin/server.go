package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/btree"
	"golang.org/x/time/rate"

	"github.com/agateyard/agateyard/internal/platform"
)

// Server is the key-value service and the VM list. It implements platform.Store
// and platform.VMList directly, with the same faults as over HTTP. It is safe for
// concurrent use.
type Server struct {
	mu       sync.Mutex
	keys     *btree.BTreeG[platform.Entry]
	revision uint64
	history  []platform.Entry // ordered by version; deletions have Deleted set
	trimmed  uint64           // highest version that is no longer in the history
	leases   map[platform.LeaseID]*lease
	leaseSeq uint64
	faults   Faults
	rng      *rand.Rand
	writes   *rate.Limiter
	reads    *rate.Limiter
	counters Counters
	changed  chan struct{} // closed and replaced on every change of keys or faults and by Close
	vms      vmList
	closed   bool
}

var (
	_ platform.Store  = (*Server)(nil)
	_ platform.VMList = (*Server)(nil)
)

// New returns a server without keys, leases, VMs or faults.
func New(cfg Config) *Server {
	return &Server{
		keys:     btree.NewG(16, func(a, b platform.Entry) bool { return a.Key < b.Key }),
		leases:   map[platform.LeaseID]*lease{},
		rng:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		writes:   newLimiter(cfg.WritesPerSecond, DefaultWritesPerSecond),
		reads:    newLimiter(cfg.ReadsPerSecond, DefaultReadsPerSecond),
		counters: Counters{Calls: map[platform.Call]int64{}},
		changed:  make(chan struct{}),
		vms:      vmList{lag: cfg.VMLag},
	}
}

func newLimiter(perSecond, defaultRate float64) *rate.Limiter {
	if perSecond < 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	if perSecond == 0 {
		perSecond = defaultRate
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/burstDivisor)))
}

// Close stops the timers of all leases and ends pending watches. Later calls fail
// with ErrUnavailable.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.broadcast()
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the current faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outageEnded := s.faults.Outage && !f.Outage
	renewLeases := outageEnded && !s.faults.ExpireInOutage
	s.faults = f
	if renewLeases {
		s.renewAll()
	}
	if outageEnded {
		s.expireDue()
	}
	s.broadcast()
}

// broadcast wakes the pending watches; the caller holds the lock.
func (s *Server) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit counts a call, adds the latency and applies the outage and the rate limits.
func (s *Server) admit(ctx context.Context, call platform.Call) error {
	s.mu.Lock()
	s.count(call)
	latency := time.Duration(s.faults.LatencyMS) * time.Millisecond
	s.mu.Unlock()
	if latency > 0 {
		if err := platform.Sleep(ctx, latency); err != nil {
			return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down() {
		return platform.ErrUnavailable
	}
	limiter := s.reads
	if call.Writes() {
		limiter = s.writes
	}
	if !limiter.Allow() {
		s.counters.Throttled++
		return platform.ErrThrottled
	}
	return nil
}

// down reports whether there is an outage or the server is closed; the caller holds the lock.
func (s *Server) down() bool { return s.faults.Outage || s.closed }

// write admits a write, draws its outcome under the faults and applies it accordingly.
func (s *Server) write(ctx context.Context, call platform.Call, apply func() error) error {
	if err := s.admit(ctx, call); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.nextWriteOutcome() {
	case outcomeRequestLost:
		return platform.ErrUncertain
	case outcomeDelayed:
		delay := time.Duration(s.faults.LateMS) * time.Millisecond
		time.AfterFunc(delay, func() { s.applyLate(apply) })
		return platform.ErrUncertain
	case outcomeReplyLost:
		_ = apply() // the caller never gets the result
		return platform.ErrUncertain
	default:
		return apply()
	}
}

func (s *Server) applyLate(apply func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		_ = apply() // the call has already returned
	}
}

// nextWriteOutcome draws the outcome of a write; the caller holds the lock.
func (s *Server) nextWriteOutcome() writeOutcome {
	f := &s.faults
	switch {
	case f.DelayNextWrites > 0:
		f.DelayNextWrites--
		return outcomeDelayed
	case f.LoseNextRequests > 0:
		f.LoseNextRequests--
		return outcomeRequestLost
	case f.LoseNextReplies > 0:
		f.LoseNextReplies--
		return outcomeReplyLost
	}
	draw := s.rng.Float64()
	switch {
	case draw < f.LostReplies:
		return outcomeReplyLost
	case draw < f.LostReplies+f.LostRequests:
		return outcomeRequestLost
	default:
		return outcomeNormal
	}
}
