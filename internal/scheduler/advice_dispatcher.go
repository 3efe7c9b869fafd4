package scheduler

import (
	"math"
	"time"
)

const (
	// shortCallLimit is the maximum duration of a short call. Only short calls and renewals may use the reserved
	// machines.
	shortCallLimit = 40 * time.Millisecond
	// maxShortCallBacklog and maxLongCallBacklog limit the backlog of a machine, including the call that is assigned to
	// it; a machine without backlog accepts any call. A backlog hides the network latency to the machine; a small one
	// keeps the order of calls close to the order of urgency.
	maxShortCallBacklog = 120 * time.Millisecond
	maxLongCallBacklog  = 300 * time.Millisecond
	// maxRenewalBacklog is the same for ticket renewals that are not short calls, as reserved capacity is idle until they
	// return.
	maxRenewalBacklog = time.Second
	// machineBackoff is how long a machine is skipped after a failed call.
	machineBackoff = time.Second
)

// AdviceDispatcher distributes advice calls over the machines, as the service handles one call at a time for each
// calling machine. Calls that no machine could make soon are rejected, so that the most urgent stage gets the next free
// machine.
type AdviceDispatcher struct {
	machines     []string
	backlog      map[string]time.Duration // expected duration of the calls in flight, by machine
	backoffUntil map[string]time.Duration // end of the backoff after a failed call, by machine
	refused      refusedCalls
}

// refusedCalls remembers, for one moment, the shortest call of each kind that no machine could take. All longer ones are
// refused without another search: while many stages wait, each asks in every pass.
type refusedCalls struct {
	at                   time.Duration
	short, long, renewal time.Duration // 0: none was refused
}

// of returns the shortest refused call of the kind of a call.
func (r *refusedCalls) of(expected time.Duration, renewal bool) *time.Duration {
	switch {
	case expected <= shortCallLimit:
		return &r.short
	case renewal:
		return &r.renewal
	default:
		return &r.long
	}
}

// NewAdviceDispatcher returns a dispatcher without machines.
func NewAdviceDispatcher() *AdviceDispatcher {
	return &AdviceDispatcher{backlog: map[string]time.Duration{}, backoffUntil: map[string]time.Duration{}}
}

// SetMachines replaces the machines that calls may be made from. They have to be in a fixed order, as the first ones are
// reserved for short calls and renewals.
func (d *AdviceDispatcher) SetMachines(addresses []string) {
	d.machines = addresses
	d.refused = refusedCalls{}
}

// Assign assigns a call to a machine; ok is false if no machine can take it soon. A renewal may use any machine.
func (d *AdviceDispatcher) Assign(expected, now time.Duration, renewal bool) (machine string, ok bool) {
	machine, ok = d.choose(expected, now, renewal)
	if ok {
		d.backlog[machine] += expected
	}
	return machine, ok
}

func (d *AdviceDispatcher) choose(expected, now time.Duration, renewal bool) (machine string, ok bool) {
	if d.refused.at != now {
		d.refused = refusedCalls{at: now} // a machine's backoff may have ended
	}
	refused := d.refused.of(expected, renewal)
	if *refused > 0 && expected >= *refused {
		return "", false
	}
	if machine, ok = d.search(expected, now, renewal); !ok {
		*refused = expected
	}
	return machine, ok
}

func (d *AdviceDispatcher) search(expected, now time.Duration, renewal bool) (machine string, ok bool) {
	reserved := reservedMachines(len(d.machines))
	limit := maxLongCallBacklog
	if renewal {
		limit = maxRenewalBacklog
	}
	if expected <= shortCallLimit {
		limit = maxShortCallBacklog
	}
	for i, candidate := range d.machines {
		if d.backoffUntil[candidate] > now || expected > shortCallLimit && i < reserved && !renewal {
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

// reservedMachines returns how many of n machines are reserved for short calls, whose load grows more slowly than the
// number of machines: 2 of 9, 5 of 40.
func reservedMachines(n int) int {
	return max(int(math.Sqrt(float64(n)))-1, 0)
}

// HasCapacity reports whether Assign would accept a call that is not a renewal.
func (d *AdviceDispatcher) HasCapacity(expected, now time.Duration) bool {
	_, ok := d.choose(expected, now, false)
	return ok
}

// MostlyIdle reports whether at least half of the machines have no call in flight.
func (d *AdviceDispatcher) MostlyIdle() bool {
	return 2*len(d.backlog) <= len(d.machines)
}

// Done records the end of a call.
func (d *AdviceDispatcher) Done(machine string, expected, now time.Duration, failed bool) {
	d.refused = refusedCalls{}
	d.backlog[machine] -= expected
	if d.backlog[machine] <= 0 {
		delete(d.backlog, machine)
	}
	if failed {
		d.backoffUntil[machine] = now + machineBackoff
	}
}

// Backlog returns the total expected duration of the calls in flight.
func (d *AdviceDispatcher) Backlog() time.Duration {
	var sum time.Duration
	for _, backlog := range d.backlog {
		sum += backlog
	}
	return sum
}
