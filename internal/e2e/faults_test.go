package e2e

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint/standin"
	platformstandin "github.com/agateyard/agateyard/internal/platform/standin"
)

// fault is a failure that a test injects and undoes.
type fault struct {
	name   string
	inject func(c *cell, rnd *rand.Rand) (undo func())
}

// faults are the failures that TestRandomPairsOfFaults combines.
var faults = []fault{
	{"kill an entry process", killEntry},
	{"pause an entry process", pauseEntry},
	{"store outage", storeFault(platformstandin.Faults{Outage: true})},
	{"store loses replies", storeFault(platformstandin.Faults{LostReplies: 0.3})},
	{"store slow", storeFault(platformstandin.Faults{LatencyMS: 300})},
	{"watches stall", storeFault(platformstandin.Faults{StallWatches: true})},
	{"runner loses replies", runnerFault(standin.Faults{LoseReplies: true})},
	{"runner fails everything", runnerFault(standin.Faults{FailAll: true})},
	{"runner frozen", runnerFault(standin.Faults{Freeze: true})},
	{"runner unreachable", runnerFault(standin.Faults{RefuseConnections: true})},
	{"runner truncates answers", runnerFault(standin.Faults{TruncateAnswers: true})},
}

func killEntry(c *cell, rnd *rand.Rand) func() {
	i := rnd.Intn(len(c.entries))
	c.entries[i].kill()
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.entries[i] = c.startEntry(i)
	}
}

func pauseEntry(c *cell, rnd *rand.Rand) func() {
	e := c.entries[rnd.Intn(len(c.entries))]
	e.pause()
	return e.resume
}

func storeFault(f platformstandin.Faults) func(*cell, *rand.Rand) func() {
	return func(c *cell, _ *rand.Rand) func() {
		c.setPlatformFaults(f)
		return func() { c.setPlatformFaults(platformstandin.Faults{}) }
	}
}

func runnerFault(f standin.Faults) func(*cell, *rand.Rand) func() {
	return func(c *cell, rnd *rand.Rand) func() {
		vm := fmt.Sprintf("runner-orders-%04d", rnd.Intn(c.opts.runners))
		c.setEndpointFaults(vm, f)
		return func() { c.setEndpointFaults(vm, standin.Faults{}) }
	}
}

// faultPairs returns up to n distinct pairs of faults in an order that depends on
// the seed.
func faultPairs(n int, rnd *rand.Rand) [][2]fault {
	var all [][2]fault
	for i := range faults {
		for j := range i {
			all = append(all, [2]fault{faults[i], faults[j]})
		}
	}
	rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// envInt returns an integer from the environment, or the fallback. It allows longer
// manual runs.
func envInt(name string, fallback int64) int64 {
	if n, err := strconv.ParseInt(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return fallback
}

// Guards against violated invariants when two failures overlap, on a cell of
// today's production size (9 entry processes). AGATEYARD_E2E_PAIRS and
// AGATEYARD_E2E_SEED change the number of pairs and the seed.
func TestRandomPairsOfFaults(t *testing.T) {
	seed := envInt("AGATEYARD_E2E_SEED", 20261203)
	rnd := rand.New(rand.NewSource(seed))
	c := newCell(t, cellOptions{entries: 9, zones: 3, runners: 12})
	h := &history{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		h.load(loadOptions{
			rate: 80, duration: time.Hour, stop: stop, runMS: 40, seed: seed, addresses: c.live,
			templates: []string{"cut-list", "cutting-run", "quote-render"},
		})
	})
	for _, pair := range faultPairs(int(envInt("AGATEYARD_E2E_PAIRS", 6)), rnd) {
		t.Logf("seed %d: %s and %s", seed, pair[0].name, pair[1].name)
		undoA := pair[0].inject(c, rnd)
		time.Sleep(time.Duration(rnd.Intn(2000)) * time.Millisecond)
		undoB := pair[1].inject(c, rnd)
		time.Sleep(4 * time.Second)
		undoA()
		time.Sleep(time.Duration(rnd.Intn(1000)) * time.Millisecond)
		undoB()
		c.waitReady(c.entries...)
	}
	close(stop)
	wg.Wait()
	h.report(t)
	h.check(t, c.effects(), nonIdempotentTemplates)
}
