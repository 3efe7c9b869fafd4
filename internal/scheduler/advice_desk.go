package scheduler

import (
	"math"
	"time"
)

const (
	// shortAdvice is the longest call that may use the machines kept for short calls.
	shortAdvice = 40 * time.Millisecond
	// shortBacklog and longBacklog are how much work may wait on a machine when a further call is given to it; a
	// machine without work takes any call. They hide the way to the machine and keep the order in which calls are
	// made close to the order of urgency.
	shortBacklog = 120 * time.Millisecond
	longBacklog  = 300 * time.Millisecond
	// heldBacklog is the same for calls for which room stands idle.
	heldBacklog = time.Second
	// adviceRest is how long a machine is passed over after a failed call.
	adviceRest = time.Second
)

// AdviceDispatcher spreads advice calls over the machines, as the service answers one at a time for each calling machine.
// Calls beyond what the machines can take soon are not given out, so that the most urgent stage comes next.
type AdviceDispatcher struct {
	machines []string
	backlog  map[string]time.Duration // expected work of the calls under way
	resting  map[string]time.Duration // machines whose last call failed, until when
}

// NewAdviceDispatcher returns a desk without machines.
func NewAdviceDispatcher() *AdviceDispatcher {
	return &AdviceDispatcher{backlog: map[string]time.Duration{}, resting: map[string]time.Duration{}}
}

// SetMachines replaces the machines that calls may be made from, in a fixed order.
func (d *AdviceDispatcher) SetMachines(addresses []string) {
	d.machines = addresses
}

// Assign gives a call out; ok is false if no machine can take it soon. A call for which room is held may use any machine.
func (d *AdviceDispatcher) Assign(expected, now time.Duration, roomHeld bool) (machine string, ok bool) {
	machine, ok = d.choose(expected, now, roomHeld)
	if ok {
		d.backlog[machine] += expected
	}
	return machine, ok
}

func (d *AdviceDispatcher) choose(expected, now time.Duration, roomHeld bool) (machine string, ok bool) {
	reserved := reservedMachines(len(d.machines))
	limit := longBacklog
	if roomHeld {
		limit = heldBacklog
	}
	if expected <= shortAdvice {
		limit = shortBacklog
	}
	for i, candidate := range d.machines {
		if d.resting[candidate] > now || expected > shortAdvice && i < reserved && !roomHeld {
			continue
		}
		backlog := d.backlog[candidate]
		if backlog > 0 && backlog+expected > limit {
			continue
		}
		if !ok || backlog < d.backlog[machine] {
			machine, ok = candidate, true
		}
	}
	return machine, ok
}

// reservedMachines returns how many of n machines are kept for short calls, whose load grows more slowly than the number
// of machines: 2 of 9, 5 of 40.
func reservedMachines(n int) int {
	return max(int(math.Sqrt(float64(n)))-1, 0)
}

// HasCapacity reports whether Take would give a call out.
func (d *AdviceDispatcher) HasCapacity(expected, now time.Duration) bool {
	_, ok := d.choose(expected, now, false)
	return ok
}

// MostlyIdle reports whether at least half of the machines have no call under way.
func (d *AdviceDispatcher) MostlyIdle() bool {
	return 2*len(d.backlog) <= len(d.machines)
}

// Done takes the end of a call into account.
func (d *AdviceDispatcher) Done(machine string, expected, now time.Duration, failed bool) {
	d.backlog[machine] -= expected
	if d.backlog[machine] <= 0 {
		delete(d.backlog, machine)
	}
	if failed {
		d.resting[machine] = now + adviceRest
	}
}

// Backlog returns the expected work of all calls under way.
func (d *AdviceDispatcher) Backlog() time.Duration {
	var sum time.Duration
	for _, backlog := range d.backlog {
		sum += backlog
	}
	return sum
}
