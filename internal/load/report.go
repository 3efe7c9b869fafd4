package load

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Report is the result of a load test.
type Report struct {
	Scenario string         `json:"scenario"`
	Seed     uint64         `json:"seed"`
	Started  time.Time      `json:"started"`
	Phases   []PhaseReport  `json:"phases"`
	Total    []StreamReport `json:"total"`
	// SendLag is the delay of sends against their intended time. A large lag means
	// that the load generator was overloaded, not the system under test.
	SendLag Latency       `json:"send_lag"`
	Faults  []FaultReport `json:"faults,omitempty"`
	Effects *EffectReport `json:"effects,omitempty"`
}

// PhaseReport holds the results of the requests with an intended send time in the
// phase.
type PhaseReport struct {
	Name     string         `json:"name"`
	Duration Duration       `json:"duration"`
	Streams  []StreamReport `json:"streams"`
}

// StreamReport holds the results of one stream.
type StreamReport struct {
	Stream     string               `json:"stream"`
	Workspace  string               `json:"workspace"`
	Template   string               `json:"template"`
	Counts     Counts               `json:"counts"`
	Throughput float64              `json:"ran_per_second"`
	Reasons    map[model.Reason]int `json:"reasons,omitempty"` // counted over all submissions
	Latency    Latency              `json:"latency"`           // of requests that ran or services that run, from the intended send time
	Refusal    Latency              `json:"refusal"`           // of not-run answers, from the actual send time
	Wait       Latency              `json:"wait"`              // time before the work started
	Accept     Latency              `json:"accept"`            // of jobs, until accepted
	Errors     []string             `json:"errors,omitempty"`  // samples
	Wrong      []string             `json:"wrong,omitempty"`   // samples
}

// FaultReport is the result of injecting one fault.
type FaultReport struct {
	At     Duration `json:"at"`
	URL    string   `json:"url"`
	Status int      `json:"status"`
	Error  string   `json:"error,omitempty"`
}

// Failures returns wrong answers, violated invariants and faults that could not
// be injected. An empty list means that the load test passed.
func (r Report) Failures() []string {
	var out []string
	for _, s := range r.Total {
		for _, w := range s.Wrong {
			out = append(out, s.Stream+": wrong answer: "+w)
		}
	}
	for _, f := range r.Faults {
		if f.Error != "" {
			out = append(out, "fault at "+f.At.String()+" not applied: "+f.Error)
		}
	}
	if r.Effects != nil {
		for _, v := range r.Effects.Violations {
			out = append(out, v.String())
		}
	}
	return out
}
