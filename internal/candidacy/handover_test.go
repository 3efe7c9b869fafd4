package candidacy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestHandover guards against a handover too early, to a process that has just started, or for little.
func TestHandover(t *testing.T) {
	load := Load{Runners: 350, StartsPerSecond: 450}
	successor := func(m Machine, present time.Duration, configured bool) Successor {
		return Successor{Candidate: Candidate{Incarnation: fmt.Sprint(m.CPU), Machine: m}, Present: present, Configured: configured}
	}
	slightlyLarger := middleVM
	slightlyLarger.CPU, slightlyLarger.LinkMbps = 560, 11
	for _, c := range []struct {
		name   string
		owner  Machine
		others []Successor
		want   int // processor of the chosen one; 0: none
	}{
		{"to the best one", smallVM, []Successor{successor(middleVM, time.Minute, true), successor(largeVM, time.Minute, true)}, 800},
		{"to one that is merely better", smallVM, []Successor{successor(middleVM, time.Minute, true)}, 480},
		{"not to one that has just joined", smallVM, []Successor{successor(largeVM, time.Second, true)}, 0},
		{"not to one without configuration", smallVM, []Successor{successor(largeVM, time.Minute, false)}, 0},
		{"not for less than a quarter", middleVM, []Successor{successor(slightlyLarger, time.Minute, true)}, 0},
		{"not by one that carries the cell", largeVM, []Successor{successor(largeVM, time.Minute, true)}, 0},
		{"alone", smallVM, nil, 0},
	} {
		h := NewHandover(0)
		if h.Due(minTermBeforeHandover - 1) {
			t.Errorf("%s: due before the owner has begun", c.name)
		}
		if !h.Due(minTermBeforeHandover) {
			t.Errorf("%s: not due in time", c.name)
		}
		got, ok := h.Choose(Candidate{Incarnation: "self", Machine: c.owner}, c.others, load, 1, minTermBeforeHandover)
		if got.Machine.CPU != c.want || ok != (c.want > 0) {
			t.Errorf("%s: chosen %d, want %d", c.name, got.Machine.CPU, c.want)
		}
	}
}

// TestHandoverRefused guards against an owner that interrupts its work every half second for a process that refuses.
func TestHandoverRefused(t *testing.T) {
	h := NewHandover(0)
	others := []Successor{{Candidate: Candidate{Incarnation: "b", Machine: largeVM}, Present: time.Hour, Configured: true}}
	attempts := 0
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
		if !h.Due(now) {
			continue
		}
		if _, ok := h.Choose(Candidate{Incarnation: "a", Machine: smallVM}, others, Load{}, 1, now); ok {
			attempts++
		}
	}
	if attempts < 3 || attempts > 6 {
		t.Errorf("%d attempts within a minute", attempts)
	}
}

// TestNoChainOfHandovers guards against ownership that passes through several processes.
func TestNoChainOfHandovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLoad(t)
		var machines []Machine
		for i := range rapid.IntRange(2, 8).Draw(t, "processes") {
			machines = append(machines, drawMachine(t, fmt.Sprint(i)))
		}
		all := candidates(machines...)
		owner, handovers := 0, 0
		for term := int64(1); term < 5; term++ {
			var others []Successor
			for _, c := range without(all, owner) {
				others = append(others, Successor{Candidate: c, Present: time.Hour, Configured: true})
			}
			to, ok := NewHandover(0).Choose(all[owner], others, l, term, time.Hour)
			if !ok {
				break
			}
			handovers++
			for i := range all {
				if all[i].Incarnation == to.Incarnation {
					owner = i
				}
			}
		}
		if handovers > 1 {
			t.Fatalf("%d handovers", handovers)
		}
	})
}
