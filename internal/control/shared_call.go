package control

import (
	"sync"
	"time"
)

// sharedCall runs one call for all that wait for its result, and limits how often calls begin and how many run at the same
// time. A caller is served only by a call that begins after the caller has asked.
type sharedCall struct {
	interval time.Duration // minimum time between the beginnings of two calls
	limit    int           // calls that may run at the same time
	run      func()
	mu       sync.Mutex
	next     chan struct{} // closed when the call that has not begun yet has ended; nil if none is planned
	begun    time.Time     // when the last call began
	running  int
	planned  bool // next has a timer
}

// begin returns a channel that is closed when a call that begins from now on has ended.
func (s *sharedCall) begin() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
		s.plan()
	}
	return s.next
}

// plan makes the next call run as soon as the interval and the limit allow. The caller holds the lock.
func (s *sharedCall) plan() {
	if s.next == nil || s.planned || s.running >= s.limit {
		return
	}
	s.planned = true
	wait := s.interval - time.Since(s.begun)
	if wait <= 0 {
		go s.runNext()
		return
	}
	time.AfterFunc(wait, s.runNext)
}

func (s *sharedCall) runNext() {
	s.mu.Lock()
	done := s.next
	s.next, s.begun, s.planned = nil, time.Now(), false
	s.running++
	s.plan()
	s.mu.Unlock()
	defer func() {
		close(done)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
		s.plan()
	}()
	s.run()
}
