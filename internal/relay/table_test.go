package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func cell(n, zones int) []Process {
	var out []Process
	for i := range n {
		out = append(out, Process{Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Zone: fmt.Sprintf("z%d", i%zones)})
	}
	return out
}

// TestFleetOfHundreds spreads 3,000 runners of 6 zones over 297 processes (pattern: hundreds of VMs). It guards against a
// process that relays far more than its share, and against calls that cross zones without need.
func TestFleetOfHundreds(t *testing.T) {
	processes := cell(297, 6)
	zoneOf := map[string]string{}
	for _, p := range processes {
		zoneOf[p.Address] = p.Zone
	}
	table := NewTable()
	table.SetProcesses(processes)
	load := map[string]int{}
	before := map[string]string{}
	for i := range 3000 {
		runner, zone := fmt.Sprint("runner-", i), fmt.Sprintf("z%d", i%6)
		address, ok := table.Assign(runner, zone, 0)
		if !ok || zoneOf[address] != zone {
			t.Fatalf("runner of %s is assigned to %q in %q", zone, address, zoneOf[address])
		}
		load[address]++
		before[runner] = address
	}
	const share = 3000 / 297
	for address, n := range load {
		if n > 4*share {
			t.Errorf("%s relays to %d runners, the mean is %d", address, n, share)
		}
	}
	lost := processes[:10]
	if gone := table.SetProcesses(processes[10:]); len(gone) != len(lost) {
		t.Errorf("%d processes reported as gone, want %d", len(gone), len(lost))
	}
	for i := range 3000 {
		runner := fmt.Sprint("runner-", i)
		address, _ := table.Assign(runner, fmt.Sprintf("z%d", i%6), 0)
		wasLost := slices.ContainsFunc(lost, func(p Process) bool { return p.Address == before[runner] })
		if moved := address != before[runner]; moved != wasLost {
			t.Errorf("%s: moved %v, its process is gone %v", runner, moved, wasLost)
		}
	}
}

// TestAssignmentsUnderFaults plays random losses, returns and failures of processes. It guards against an assignment to a
// process that is gone or has just failed, a process with more runners than it may have, and a runner without a process
// although one has room.
func TestAssignmentsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := cell(rapid.IntRange(1, 12).Draw(t, "processes"), 3)
		table := NewTable()
		now := time.Duration(0)
		present := map[string]bool{}
		failedAt := map[string]time.Duration{}
		assigned := map[string]string{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				clear(present)
				var list []Process
				for _, p := range all {
					if rapid.Bool().Draw(t, "present") {
						list = append(list, p)
						present[p.Address] = true
					}
				}
				table.SetProcesses(list)
				for address := range failedAt {
					if !present[address] {
						delete(failedAt, address)
					}
				}
			case 1:
				p := rapid.SampledFrom(all).Draw(t, "failed")
				table.Failed(p.Address, now)
				if present[p.Address] {
					failedAt[p.Address] = now
				}
			case 2:
				runner := fmt.Sprint(rapid.IntRange(0, 900).Draw(t, "released"))
				table.Release(runner)
				delete(assigned, runner)
			default:
				for range rapid.IntRange(1, 300).Draw(t, "count") {
					runner := fmt.Sprint(rapid.IntRange(0, 900).Draw(t, "runner"))
					address, ok := table.Assign(runner, "z1", now)
					delete(assigned, runner)
					if ok {
						assigned[runner] = address
					}
					checkAssignment(t, address, ok, now, present, failedAt, assigned)
				}
			}
		}
	})
}

func checkAssignment(t *rapid.T, address string, ok bool, now time.Duration, present map[string]bool, failedAt map[string]time.Duration, assigned map[string]string) {
	usable := func(address string) bool {
		at, failed := failedAt[address]
		return present[address] && (!failed || now-at >= failureBackoff)
	}
	load := map[string]int{}
	for _, a := range assigned {
		load[a]++
	}
	if ok {
		if !usable(address) || load[address] > maxRunners {
			t.Fatalf("assigned to %s: usable %v, %d runners", address, usable(address), load[address])
		}
		return
	}
	for a := range present {
		if usable(a) && load[a] < maxRunners {
			t.Fatalf("not assigned although %s has %d runners", a, load[a])
		}
	}
}
