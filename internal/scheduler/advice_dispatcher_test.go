package scheduler

import (
	"testing"
	"time"
)

// TestLongCallsLeaveCapacityForShortCalls guards against advice calls of 700 ms that delay calls of a few milliseconds,
// as when many wide gangs arrive during a steady stream of short jobs.
func TestLongCallsLeaveCapacityForShortCalls(t *testing.T) {
	d := NewAdviceDispatcher()
	machines := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	d.SetMachines(machines)
	long := 700 * time.Millisecond
	assigned := 0
	for range 100 {
		if _, ok := d.Assign(long, 0, false); ok {
			assigned++
		}
	}
	if want := len(machines) - reservedMachines(len(machines)); assigned != want {
		t.Fatalf("%d long calls assigned, want one on each of %d machines", assigned, want)
	}
	if _, ok := d.Assign(10*time.Millisecond, 0, false); !ok {
		t.Fatal("no machine accepts a short call while long ones are in flight")
	}
}

// TestAdviceDispatcherLimitsBacklog guards against calls that are queued on a machine for seconds, where more urgent
// calls can't overtake them.
func TestAdviceDispatcherLimitsBacklog(t *testing.T) {
	d := NewAdviceDispatcher()
	d.SetMachines([]string{"a"})
	short := 10 * time.Millisecond
	assigned := 0
	for range 1000 {
		if _, ok := d.Assign(short, 0, false); ok {
			assigned++
		}
	}
	if want := int(maxShortCallBacklog / short); assigned != want {
		t.Fatalf("%d calls assigned, want %d", assigned, want)
	}
	d.Done("a", short, 0, false)
	if !d.HasCapacity(short, 0) {
		t.Fatal("no capacity after a call has ended")
	}
}

// TestAdviceDispatcherBacksOffFailedMachine guards against calls that are assigned to a machine that can't reach the
// service.
func TestAdviceDispatcherBacksOffFailedMachine(t *testing.T) {
	d := NewAdviceDispatcher()
	d.SetMachines([]string{"a", "b"})
	first, _ := d.Assign(time.Millisecond, 0, false)
	d.Done(first, time.Millisecond, 0, true)
	for range 3 {
		machine, ok := d.Assign(time.Millisecond, 0, false)
		if !ok || machine == first {
			t.Fatalf("call assigned to %q, which has just failed", machine)
		}
		d.Done(machine, time.Millisecond, 0, false)
	}
	if _, ok := d.Assign(time.Millisecond, machineBackoff, false); !ok {
		t.Fatal("the machine is not used after the backoff")
	}
}
