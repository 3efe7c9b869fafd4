package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// counterValue returns the value of a registered counter with the given value of its label.
func counterValue(t *testing.T, registry *prometheus.Registry, name, label string) float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		for _, m := range family.GetMetric() {
			if family.GetName() == name && len(m.GetLabel()) == 1 && m.GetLabel()[0].GetValue() == label {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// TestLongLoadIsReported guards against terms that end without work and leave no trace: how long the load of the durable
// state took, how much of it was read, and that the term ended before it (incident LOST).
func TestLongLoadIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, log, registry := newMemoryStore(), &recordingLog{}, prometheus.NewRegistry()
		store.delayPerItem = 20 * time.Millisecond // about 2 s for each part
		storeFinishedJobs(t, store, 1600)
		deps := testDeps()
		deps.Log, deps.Metrics = log, NewMetrics(registry)
		tn := newTestNodeWith(deps, store, "127.0.0.1:1", testWeight)
		newMemoryNetwork().useBubble(tn)
		o := newTestOwnership(tn.Node)
		tn.ownership.Store(o)
		go o.run()
		time.Sleep(1200 * time.Millisecond)
		if got := log.linesOf("load-progress"); got != 2 {
			t.Errorf("%d reports within 1.2 s of a load, want 2", got)
		}
		if seconds := tn.ownerlessSeconds(); seconds < 1 {
			t.Errorf("1.2 s after the start without an owner, the metric says %.1f s", seconds)
		}
		o.stepDown("test")
		<-o.ended
		if got := counterValue(t, registry, "agateyard_terms_total", "unloaded"); got != 1 {
			t.Errorf("%v terms have ended without a load, want 1", got)
		}
		var end recordedLine
		for _, line := range log.lines {
			if line.event == "ownership-ended" {
				end = line
			}
		}
		if held, _ := end.fields["held_ms"].(int64); held < 1000 || fmt.Sprint(end.fields["loaded"]) != "false" {
			t.Errorf("the end of the term is reported as %v", end.fields)
		}
	})
}

// TestLoadWithoutStoreSaysSo guards against an owner that can't read the durable state and is not replaced, because its
// attempts count as progress.
func TestLoadWithoutStoreSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		storeFinishedJobs(t, store, 100)
		tn := newTestNode(store, "127.0.0.1:1", testWeight)
		network := newMemoryNetwork()
		network.useBubble(tn)
		tn.store.setPartitioned(true)
		o := newTestOwnership(tn.Node)
		tn.ownership.Store(o)
		go func() {
			defer o.cleanUp()
			_, _ = o.readJobs()
		}()
		time.Sleep(2 * ownerStoreFailureLimit)
		var reply PingReply
		if err := (&Peer{tn.Node}).Ping(PingArgs{}, &reply); err != nil || reply.StoreOK {
			t.Errorf("an owner that reads nothing says that it reaches the store (error %v)", err)
		}
		o.stepDown("test")
		<-o.ended
	})
}
