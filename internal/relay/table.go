// Package relay decides which process of a cell relays the owner's calls to which runner. A large cell spreads the
// connections to its runners over its processes in this way. The package performs no I/O; time is passed in.
package relay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRunners is the number of runners that one process relays calls to. With a few connections to each it stays
	// far below the descriptors of the smallest VM.
	maxRunners = 400
	// failureBackoff is how long a process gets no calls after one has failed because of it.
	failureBackoff = 2 * time.Second
)

// Process is a process that may relay calls.
type Process struct {
	Address string
	Zone    string
	Weight  int // its share of the calls, in proportion to its processor; 0 counts as 1
}

// Table assigns runners to processes. An assignment lasts until its process is gone or has failed, so that a change of
// the processes moves only the runners that it must.
type Table struct {
	processes  map[string]Process // by address
	byZone     map[string][]Process
	all        []Process
	strong     int               // weight from which on a process is preferred
	assigned   map[string]string // address by runner
	runners    map[string]int    // number of assigned runners by address
	backoffEnd map[string]time.Duration
}

// NewTable returns a table without processes.
func NewTable() *Table {
	return &Table{
		processes: map[string]Process{}, byZone: map[string][]Process{}, assigned: map[string]string{},
		runners: map[string]int{}, backoffEnd: map[string]time.Duration{},
	}
}

// SetProcesses replaces the processes and returns the addresses of those that are gone.
func (t *Table) SetProcesses(processes []Process) (gone []string) {
	next := make(map[string]Process, len(processes))
	for _, p := range processes {
		next[p.Address] = p
	}
	changed := len(next) != len(t.processes)
	for address, p := range t.processes {
		if next[address] != p {
			changed = true
		}
		if _, ok := next[address]; !ok {
			gone = append(gone, address)
			delete(t.backoffEnd, address)
		}
	}
	if !changed {
		return nil
	}
	t.processes = next
	t.all = slices.SortedFunc(valuesOf(next), func(a, b Process) int { return cmp.Compare(a.Address, b.Address) })
	clear(t.byZone)
	t.strong = 0
	for _, p := range t.all {
		t.byZone[p.Zone] = append(t.byZone[p.Zone], p)
		t.strong = max(t.strong, p.Weight/strongRatio)
	}
	slices.Sort(gone)
	return gone
}

func valuesOf(m map[string]Process) func(yield func(Process) bool) {
	return func(yield func(Process) bool) {
		for _, p := range m {
			if !yield(p) {
				return
			}
		}
	}
}

// strongRatio: processes with at least 1/strongRatio of the processor of the largest one are preferred. A call that takes 1 ms of
// a large one holds up a small one for many.
const strongRatio = 2

// Assign returns the process that relays the calls to a runner: one in the runner's zone if possible, and a strong one if the zone
// has any. ok is false if no process can take the runner.
func (t *Table) Assign(runner, zone string, now time.Duration) (address string, ok bool) {
	if address, ok = t.assigned[runner]; ok && t.available(address, now) {
		return address, true
	}
	t.Release(runner)
	best, ok := t.best(runner, t.byZone[zone], t.strong, now)
	if !ok {
		best, ok = t.best(runner, t.byZone[zone], 0, now)
	}
	if !ok {
		best, ok = t.best(runner, t.all, 0, now)
	}
	if !ok {
		return "", false
	}
	t.assigned[runner] = best.Address
	t.runners[best.Address]++
	return best.Address, true
}

// best returns the process with the highest score for the runner (weighted rendezvous hashing) among those with room and at least
// the given weight.
func (t *Table) best(runner string, among []Process, least int, now time.Duration) (best Process, ok bool) {
	highest := 0.0
	for _, p := range among {
		if p.Weight < least || !t.available(p.Address, now) || t.runners[p.Address] >= maxRunners {
			continue
		}
		if score := p.score(runner); !ok || score > highest {
			best, highest, ok = p, score, true
		}
	}
	return best, ok
}

// score is the weight divided by an exponentially distributed hash, so that the process with the highest score is each one with
// a probability in proportion to its weight.
func (p Process) score(runner string) float64 {
	const hashes = 1 << 64
	uniform := (float64(xxhash.Sum64String(p.Address+"/"+runner)) + 0.5) / hashes
	return float64(max(p.Weight, 1)) / -math.Log(uniform)
}

func (t *Table) available(address string, now time.Duration) bool {
	_, present := t.processes[address]
	return present && now >= t.backoffEnd[address]
}

// Failed records that a call has failed because of a process.
func (t *Table) Failed(address string, now time.Duration) {
	if _, present := t.processes[address]; present {
		t.backoffEnd[address] = now + failureBackoff
	}
}

// Release removes the assignment of a runner that is no longer called.
func (t *Table) Release(runner string) {
	address, ok := t.assigned[runner]
	if !ok {
		return
	}
	delete(t.assigned, runner)
	if t.runners[address]--; t.runners[address] == 0 {
		delete(t.runners, address)
	}
}
