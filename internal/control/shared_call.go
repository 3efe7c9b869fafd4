package control

import (
	"sync"
	"time"
)

// sharedCall runs one call for all that wait for its result, and limits how often calls begin. A caller is served only by
// a call that begins after the caller has asked.
type sharedCall struct {
	interval time.Duration // minimum time between the beginnings of two calls
	run      func()
	mu       sync.Mutex
	next     chan struct{} // closed when the call that has not begun yet has ended; nil if none is planned
	begun    time.Time     // when the last call began
}

// begin returns a channel that is closed when a call that begins from now on has ended.
func (s *sharedCall) begin() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
		time.AfterFunc(max(0, s.interval-time.Since(s.begun)), s.runNext)
	}
	return s.next
}

func (s *sharedCall) runNext() {
	s.mu.Lock()
	done := s.next
	s.next, s.begun = nil, time.Now()
	s.mu.Unlock()
	defer close(done)
	s.run()
}
