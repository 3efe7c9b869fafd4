package scheduler

import (
	"maps"
	"time"
)

// loadKey groups the work that waits: work of one service competes for the same runners, in the order of the priorities.
type loadKey struct {
	service  string
	priority int
}

// pendingLoad holds the sums over all accepted work that has not started, by service and priority. It is updated with each
// change, so that an admission takes the same time however much waits.
type pendingLoad struct {
	work   map[loadKey]int64         // millicores times milliseconds
	advice map[loadKey]time.Duration // expected advice calls
	// capacity is the number of millicores of the listed runners that accept work, by service. Runners that don't answer
	// for a moment count, as a short fault must not cause refusals.
	capacity map[string]int64
}

func newPendingLoad() pendingLoad {
	return pendingLoad{work: map[loadKey]int64{}, advice: map[loadKey]time.Duration{}, capacity: map[string]int64{}}
}

// add changes the sums of a key.
func (l *pendingLoad) add(key loadKey, work int64, advice time.Duration) {
	l.work[key] += work
	l.advice[key] += advice
	if l.work[key] == 0 && l.advice[key] == 0 {
		delete(l.work, key)
		delete(l.advice, key)
	}
}

// coreWait predicts how long work of a service waits for cores: the work that is at least as urgent, over the capacity. It
// is 0 if no capacity is known.
func (l *pendingLoad) coreWait(service string, priority int) time.Duration {
	capacity := l.capacity[service]
	if capacity == 0 {
		return 0
	}
	var work int64
	for key, w := range l.work {
		if key.service == service && key.priority <= priority {
			work += w
		}
	}
	return time.Duration(work/capacity) * time.Millisecond
}

// adviceWait predicts how long work waits for advice calls: the calls for work of any service that is at least as urgent,
// distributed over the machines. It is 0 without machines.
func (l *pendingLoad) adviceWait(priority, machines int) time.Duration {
	if machines == 0 {
		return 0
	}
	var calls time.Duration
	for key, d := range l.advice {
		if key.priority <= priority {
			calls += d
		}
	}
	return calls / time.Duration(machines)
}

// setCapacity recounts the capacity of the runners.
func (l *pendingLoad) setCapacity(runners []*runner) {
	clear(l.capacity)
	for _, r := range runners {
		if r.listed && !r.Draining {
			l.capacity[r.Service] += r.Capacity.CoresMilli
		}
	}
}

// equal reports whether the sums are the same.
func (l *pendingLoad) equal(other *pendingLoad) bool {
	return maps.Equal(l.work, other.work) && maps.Equal(l.advice, other.advice)
}
