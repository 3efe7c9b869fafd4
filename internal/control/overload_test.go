package control

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// TestOverloadIsNoLimitOfATenant guards against a caller without a tenant that is told that it is over the limit of the
// tenant when the cell is short of cores, and against refusals that leave no trace of their reason.
func TestOverloadIsNoLimitOfATenant(t *testing.T) {
	log, registry, deps := &recordingLog{}, prometheus.NewRegistry(), testDeps()
	deps.Log, deps.Metrics = log, NewMetrics(registry)
	n := startNodeWith(t, deps, newConfiguredStore(t), testWeight)
	eventually(t, 5*time.Second, "an owner", n.Ready)
	o := n.ownership.Load()
	filled := make(chan struct{})
	o.post(func() {
		o.sched.RunnerListed(scheduler.RunnerInfo{ID: "r", Addr: "127.0.0.1:1", Service: "s", Capacity: model.Resources{CoresMilli: 1000}})
		o.sched.Tick()
		o.sched.Pass()
		for i := range 100 {
			spec := testSpec(i + 1)
			spec.Steps[0].Need.CoresMilli, spec.Steps[0].Estimate = 1000, 10_000
			o.sched.Submit(spec)
		}
		close(filled)
	})
	<-filled
	spec := testSpec(1000)
	reply := o.submit(context.Background(), SubmitArgs{Spec: spec, Within: time.Second})
	if reply.Outcome != OutcomeRefused || reply.RetryAfter < time.Second {
		t.Errorf("%s, Retry-After %s, want a refusal that isn't for a limit", reply.Outcome, reply.RetryAfter)
	}
	if got := counterValue(t, registry, "agateyard_refusals_total", "overloaded: cores"); got != 1 {
		t.Errorf("%v refusals are counted, want 1", got)
	}
	if got := log.linesOf("refused"); got != 1 {
		t.Errorf("%d refusals are logged, want 1", got)
	}
}
