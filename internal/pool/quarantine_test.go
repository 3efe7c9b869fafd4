package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// outcome is the result of one run of a template on an endpoint.
type outcome struct {
	template, endpoint string
	failed             bool
}

// TestQuarantine guards against a worker that fails every task and still gets work,
// against a broken template that gets workers quarantined, and against quarantine of
// too much of the pool.
func TestQuarantine(t *testing.T) {
	fail := func(template, endpoint string, n int) []outcome {
		out := make([]outcome, n)
		for i := range out {
			out[i] = outcome{template, endpoint, true}
		}
		return out
	}
	ok := []outcome{{"a", "e0003", false}, {"b", "e0003", false}}
	for _, c := range []struct {
		name     string
		outcomes []outcome
		want     []string // quarantined
		broken   string
	}{
		{"one template that succeeds elsewhere", append(ok, fail("a", "e0000", 3)...), []string{"e0000"}, ""},
		{"one template without a success", fail("a", "e0000", 9), nil, ""},
		{"three templates", append(fail("a", "e0000", 1), append(fail("b", "e0000", 1), fail("c", "e0000", 1)...)...), []string{"e0000"}, ""},
		{"success in between", append(append(ok, fail("a", "e0000", 2)...), append([]outcome{{"b", "e0000", false}}, fail("a", "e0000", 2)...)...), nil, ""},
		{"broken template", append(append(ok, fail("a", "e0000", 3)...), append(fail("a", "e0001", 1), append(fail("a", "e0002", 1), fail("a", "e0003", 9)...)...)...), nil, "a"},
		{"half of the pool", append(append(ok, fail("b", "e0000", 3)...), append(fail("a", "e0001", 3), append(ok, fail("a", "e0002", 3)...)...)...), []string{"e0000", "e0001"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPool("worker/z/r")
			setTemplates(p, job("a", 1), job("b", 1), job("c", 1))
			addEndpoints(p, 4, worker(4, 64, 0))
			for _, o := range c.outcomes {
				recordTestOutcome(p, o)
			}
			var got []string
			for _, e := range p.ordered {
				if e.health.quarantined {
					got = append(got, e.id)
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("quarantined %v, want %v", got, c.want)
			}
			if c.broken != "" && !p.Broken(id(c.broken)) {
				t.Errorf("%s is not broken", c.broken)
			}
		})
	}
}

func recordTestOutcome(p *Pool, o outcome) {
	status := 200
	if o.failed {
		status = 500
	}
	a := &attemptState{endpoint: p.endpoints[o.endpoint], template: p.template(id(o.template))}
	p.recordOutcome(epoch, a, model.Settled{End: model.AttemptEnded, HasAnswer: true, Answer: model.Answer{Status: status}})
}

// TestProbe guards against a quarantined worker that gets grants other than probes,
// non-idempotent work, too many probes, or none.
func TestProbe(t *testing.T) {
	p := newTestPool("worker/z/r")
	nonIdempotent, work := job("once", 1), job("work", 5)
	nonIdempotent.Idempotent = false
	setTemplates(p, work, nonIdempotent)
	addEndpoints(p, 2, worker(4, 64, 0))
	for _, o := range []outcome{{"work", "e0001", false}, {"work", "e0000", true}, {"work", "e0000", true}, {"work", "e0000", true}} {
		recordTestOutcome(p, o)
	}
	var seq, next uint64
	var probes []time.Duration
	for d := time.Duration(0); d < 200*time.Second; d += time.Second {
		seq++
		p.SetDemand(at(d), "s", seq, []model.Demand{demand(work, 3, at(0)), demand(nonIdempotent, 3, at(0))})
		for _, a := range p.Schedule(at(d)) {
			next++
			if _, err := p.StartAttempts(at(d), a.Grant.ID, []model.AttemptID{attemptID(next)}); err != nil {
				t.Fatal(err)
			}
			status := 200
			if a.Grant.Endpoints[0] == "e0000" {
				if a.Grant.Template != work.ID {
					t.Fatalf("probed with %s", a.Grant.Template)
				}
				probes = append(probes, d)
				status = 500
				if len(probes) == 4 {
					status = 200
				}
			}
			p.HandleStartResult(at(d), attemptID(next), StartResult{Kind: StartAnswered, Answer: model.Answer{Status: status}})
		}
		keepLeases(p, at(d))
		if len(probes) == 4 && p.endpoints["e0000"].health.quarantined {
			t.Fatal("still quarantined after a probe that succeeded")
		}
		if len(probes) >= 4 {
			break
		}
	}
	t.Logf("probes at %v", probes)
	for i := 2; i < len(probes); i++ {
		if probes[i]-probes[i-1] <= probes[i-1]-probes[i-2] {
			t.Fatalf("intervals don't grow: %v", probes)
		}
	}
	if len(probes) != 4 {
		t.Fatalf("%d probes, want 4", len(probes))
	}
}
