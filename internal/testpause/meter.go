// Package testpause measures for how long a test process got no processor, so that a test with a time bound can tell a
// starved machine from a slow program.
package testpause

import "time"

// minPause is longer than the delay of a timer on a machine that isn't starved.
const minPause = 5 * time.Millisecond

// Meter sleeps for a millisecond at a time and records by how much that takes longer.
type Meter struct {
	done   chan struct{}
	result chan result
}

type result struct{ longest, total time.Duration }

// Start starts a measurement, which Stop ends.
func Start() *Meter {
	m := &Meter{done: make(chan struct{}), result: make(chan result, 1)}
	go m.run()
	return m
}

func (m *Meter) run() {
	var r result
	for {
		before := time.Now()
		select {
		case <-m.done:
			m.result <- r
			return
		case <-time.After(time.Millisecond):
		}
		pause := time.Since(before) - time.Millisecond
		r.longest = max(r.longest, pause)
		if pause > minPause {
			r.total += pause
		}
	}
}

// Stop ends the measurement and returns the longest pause and the sum of those that are longer than a timer's usual delay.
func (m *Meter) Stop() (longest, total time.Duration) {
	close(m.done)
	r := <-m.result
	return r.longest, r.total
}
