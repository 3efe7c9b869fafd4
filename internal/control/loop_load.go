package control

import "time"

// loopLoad is how long the event loop of an owner has worked since the last report.
type loopLoad struct {
	busy    time.Duration // in all
	longest time.Duration // for one event and those queued behind it
	passes  time.Duration // on placement passes
}

// ran records a time for which the loop has worked.
func (l *loopLoad) ran(took time.Duration) {
	l.busy += took
	l.longest = max(l.longest, took)
}
