package scheduler

import (
	"testing"
	"time"
)

// TestLongAdviceLeavesRoomForShort guards against a call of most of a second standing before calls of milliseconds:
// the pattern is a wave of wide gangs beside a steady stream of short jobs.
func TestLongAdviceLeavesRoomForShort(t *testing.T) {
	d := NewAdviceDispatcher()
	machines := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	d.SetMachines(machines)
	long := 700 * time.Millisecond
	given := 0
	for range 100 {
		if _, ok := d.Assign(long, 0, false); ok {
			given++
		}
	}
	if want := len(machines) - reservedMachines(len(machines)); given != want {
		t.Fatalf("%d long calls given out, want one on each of %d machines", given, want)
	}
	if _, ok := d.Assign(10*time.Millisecond, 0, false); !ok {
		t.Fatal("no machine takes a short call while long ones are under way")
	}
}

// TestAdviceDeskGivesOutWhatMachinesCanTake guards against calls that wait in line on a machine for seconds, where
// more urgent ones can't overtake them.
func TestAdviceDeskGivesOutWhatMachinesCanTake(t *testing.T) {
	d := NewAdviceDispatcher()
	d.SetMachines([]string{"a"})
	short := 10 * time.Millisecond
	given := 0
	for range 1000 {
		if _, ok := d.Assign(short, 0, false); ok {
			given++
		}
	}
	if want := int(shortBacklog / short); given != want {
		t.Fatalf("%d calls given out, want %d", given, want)
	}
	d.Done("a", short, 0, false)
	if !d.HasCapacity(short, 0) {
		t.Fatal("no room after a call has ended")
	}
}

// TestAdviceDeskRestsAFailedMachine guards against calls given to a machine that doesn't reach the service.
func TestAdviceDeskRestsAFailedMachine(t *testing.T) {
	d := NewAdviceDispatcher()
	d.SetMachines([]string{"a", "b"})
	first, _ := d.Assign(time.Millisecond, 0, false)
	d.Done(first, time.Millisecond, 0, true)
	for range 3 {
		machine, ok := d.Assign(time.Millisecond, 0, false)
		if !ok || machine == first {
			t.Fatalf("call given to %q, which has just failed", machine)
		}
		d.Done(machine, time.Millisecond, 0, false)
	}
	if _, ok := d.Assign(time.Millisecond, adviceRest, false); !ok {
		t.Fatal("the machine is not used again")
	}
}
