package relay

import (
	"fmt"
	"testing"
)

// TestMode guards against an owner that runs out of processor, link or descriptors by its own calls to the runners, and against
// one that changes between direct and relayed calls with each burst of its callers.
func TestMode(t *testing.T) {
	var m Mode
	for i, step := range []struct {
		share              float64
		runners, directMax int
		want               bool
	}{
		{0.1, 100, 0, false},
		{0.19, 100, 128, false},
		{0.21, 100, 128, true},
		{0.1, 100, 128, true}, // after a burst
		{0.21, 100, 128, true},
		{0.04, 100, 128, false},
		{0.04, 129, 128, true},
		{0.04, 120, 128, true}, // too few have gone
		{0.1, 110, 128, true},
		{0.04, 115, 128, false},
		{0.3, 3000, 0, true},
	} {
		if got := m.Update(step.share, step.runners, step.directMax); got != step.want {
			t.Errorf("step %d, %+v: relayed %v", i, step, got)
		}
	}
}

// TestSmallProcessesRelayLess guards against a VM with a fifth of the processor of others that relays calls while these can, against
// one that gets as many as a larger one, and against runners without a relay in a zone of small VMs.
func TestSmallProcessesRelayLess(t *testing.T) {
	const runners = 1000
	table := NewTable()
	weights := map[string]int{}
	var processes []Process
	for i, p := range cell(40, 2) {
		switch { // zone z0 has large, middle and small processes, z1 only small ones
		case p.Zone == "z1" || i >= 20:
			p.Weight = 144
		case i < 8:
			p.Weight = 800
		default:
			p.Weight = 480
		}
		weights[p.Address] = p.Weight
		processes = append(processes, p)
	}
	table.SetProcesses(processes)
	got := map[string]map[int]int{"z0": {}, "z1": {}}
	for zone, byWeight := range got {
		for i := range runners {
			address, ok := table.Assign(fmt.Sprint(zone, "/", i), zone, 0)
			if !ok {
				t.Fatal("no process")
			}
			byWeight[weights[address]]++
		}
	}
	want := runners * 4 * 800 / (4*800 + 6*480)
	if n := got["z0"][800]; n < want*9/10 || n > want*11/10 || got["z0"][144] > 0 {
		t.Errorf("runners by the weight of their relay %v, want about %d at the large ones and none at the small ones", got["z0"], want)
	}
	if got["z1"][144] != runners {
		t.Errorf("in a zone of small processes %v", got["z1"])
	}
}
