package timeline

import "sync"

// Recorder keeps the latest events of a process in a ring buffer of fixed size. It
// is safe for concurrent use.
type Recorder struct {
	clock   *Clock
	process string

	mu   sync.Mutex
	ring []Event
	next int
	full bool
}

// NewRecorder returns a recorder that keeps up to capacity events.
func NewRecorder(clock *Clock, process string, capacity int) *Recorder {
	return &Recorder{clock: clock, process: process, ring: make([]Event, capacity)}
}

// Clock returns the clock of the recorder.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record sets Time and Process of the event and adds it.
func (r *Recorder) Record(e Event) {
	e.Process = r.process
	r.mu.Lock()
	defer r.mu.Unlock()
	// Read the clock under the lock so that the ring is ordered by time.
	e.Time = r.clock.Now()
	r.ring[r.next] = e
	r.next++
	if r.next == len(r.ring) {
		r.next, r.full = 0, true
	}
}

// Events returns the recorded events in time order. With a non-empty request it
// returns only the events of that request.
func (r *Recorder) Events(request string) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	if r.full {
		out = appendMatching(out, r.ring[r.next:], request)
	}
	return appendMatching(out, r.ring[:r.next], request)
}

func appendMatching(out, events []Event, request string) []Event {
	for _, e := range events {
		if request == "" || e.Request == request {
			out = append(out, e)
		}
	}
	return out
}
