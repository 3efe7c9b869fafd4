package bench

import (
	"context"
	"time"

	"github.com/agateyard/agateyard/internal/load"
)

// jobPollInterval is the interval between status calls for a job. It is long, since
// calls from callers are not control-plane overhead.
const jobPollInterval = load.Duration(5 * time.Second)

// scenario returns the load that the options describe, and false if there is none.
func scenario(o Options, entries []string) (load.Scenario, bool) {
	s := load.Scenario{Name: "bench", Seed: 1, Entries: entries, MaxOutstanding: 20000}
	phase := load.Phase{Name: "load", Duration: load.Duration(o.Settle + o.Duration), Rates: map[string]float64{}}
	add := func(template string, mode load.Mode, idempotent bool, rate float64) {
		if rate == 0 {
			return
		}
		s.Streams = append(s.Streams, load.Stream{
			Name: template, Workspace: "bench", Template: template, Idempotent: idempotent, Mode: mode,
			Identifier: load.IdentifierNone, Poll: jobPollInterval, Limit: load.Duration(time.Minute),
			Run:         load.Distribution{Shape: load.ShapeExponential, Mean: load.Duration(o.RunTime)},
			AnswerBytes: 200,
		})
		phase.Rates[template] = rate
	}
	add("task", load.ModeJob, true, o.JobRate*(1-o.NonIdempotentShare))
	add("task-once", load.ModeJob, false, o.JobRate*o.NonIdempotentShare)
	add("ask", load.ModeRequest, true, o.RequestRate*(1-o.NonIdempotentShare))
	add("charge", load.ModeRequest, false, o.RequestRate*o.NonIdempotentShare)
	s.Phases = []load.Phase{phase}
	return s, len(s.Streams) > 0
}

// startLoad sends the load in the background and returns a channel that receives
// the report.
func (c *cell) startLoad(ctx context.Context) <-chan load.Report {
	done := make(chan load.Report, 1)
	s, hasLoad := scenario(c.opts, c.addresses())
	if !hasLoad {
		done <- load.Report{}
		return done
	}
	go func() {
		rep, _ := load.Run(ctx, s, load.Options{})
		done <- rep
	}()
	return done
}
