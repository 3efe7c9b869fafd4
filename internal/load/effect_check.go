package load

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint/standin"
	"github.com/agateyard/agateyard/internal/model"
)

// effectsTimeout limits the time to read one effect log.
const effectsTimeout = 30 * time.Second

// leavingGrace is how long an endpoint may still get new work after it announces
// that it is leaving.
const leavingGrace = 3 * time.Second

// Invariant names a guarantee of the system.
type Invariant string

// Invariants that the effect logs can show to be violated.
const (
	InvariantNotRun      Invariant = "reported not-run, but started"
	InvariantAtMostOnce  Invariant = "non-idempotent request has more than one effect"
	InvariantNoOverlap   Invariant = "two runs of one task overlap"
	InvariantRan         Invariant = "reported ran, but the endpoints have no such run"
	InvariantOrder       Invariant = "request started before an earlier one with its ordering key"
	InvariantLeaving     Invariant = "endpoint got new work long after it announced that it leaves"
	InvariantLogComplete Invariant = "effect log is incomplete, nothing is proven"
)

// Violation describes one violated invariant.
type Violation struct {
	Invariant Invariant         `json:"promise"`
	Stream    string            `json:"stream,omitempty"`
	Echo      string            `json:"echo,omitempty"`
	Attempts  []model.AttemptID `json:"attempts,omitempty"`
	Detail    string            `json:"detail,omitempty"`
}

// String returns the violation on one line.
func (v Violation) String() string {
	return strings.TrimSpace(fmt.Sprintf("%s: %s %s %v %s", v.Invariant, v.Stream, v.Echo, v.Attempts, v.Detail))
}

// EffectReport is the result of the effect check.
type EffectReport struct {
	Endpoints   int         `json:"endpoints"` // number of effect logs read
	Entries     int         `json:"entries"`
	Attempts    int         `json:"attempts"`
	Submissions int         `json:"submissions"`
	Violations  []Violation `json:"violations"`
	// ContradictingRepeats counts identifiers with a submission that was answered
	// not-run although the work started, where another submission of the identifier
	// explains every run. This is allowed but wasteful.
	ContradictingRepeats int `json:"contradicting_repeats"`
}

// fetchEffects reads the effect logs at all addresses (ip:port).
func fetchEffects(ctx context.Context, addresses []string) ([]standin.EffectLog, error) {
	var out []standin.EffectLog
	for _, a := range addresses {
		l, err := fetchEffectLog(ctx, a)
		if err != nil {
			return nil, fmt.Errorf("effects of %s: %w", a, err)
		}
		out = append(out, l)
	}
	return out, nil
}

func fetchEffectLog(ctx context.Context, address string) (standin.EffectLog, error) {
	var l standin.EffectLog
	ctx, cancel := context.WithTimeout(ctx, effectsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/admin/effects", nil)
	if err != nil {
		return l, err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, fmt.Errorf("status %s", resp.Status)
	}
	return l, json.NewDecoder(resp.Body).Decode(&l)
}

// taskRun is one attempt as logged by an endpoint.
type taskRun struct {
	attempt  model.AttemptID
	task     string
	template string
	start    time.Time
	end      time.Time // farFuture while it runs
	effects  int
	finished bool // ran to completion, whether it succeeded or failed
}

// farFuture is the end time of a run that has not ended.
var farFuture = time.Unix(1<<40, 0)

// effectCheck compares submissions with the logged runs.
type effectCheck struct {
	runs   map[string][]*taskRun // by echo, ordered by start
	report *EffectReport
}

// checkEffects verifies the invariants.
func checkEffects(subs []submission, logs []standin.EffectLog, addresses int) *EffectReport {
	c := &effectCheck{runs: map[string][]*taskRun{}, report: &EffectReport{
		Endpoints: addresses, Submissions: len(subs), Violations: []Violation{},
	}}
	c.index(logs)
	byEcho := map[string][]submission{}
	var order []string
	for _, s := range subs {
		if byEcho[s.echo] == nil {
			order = append(order, s.echo)
		}
		byEcho[s.echo] = append(byEcho[s.echo], s)
	}
	for _, echo := range order {
		c.check(echo, byEcho[echo])
	}
	c.checkOrder(subs)
	return c.report
}

func (c *effectCheck) addViolation(i Invariant, s submission, detail string, runs ...*taskRun) {
	v := Violation{Invariant: i, Stream: s.stream, Echo: s.echo, Detail: detail}
	for _, r := range runs {
		v.Attempts = append(v.Attempts, r.attempt)
	}
	c.report.Violations = append(c.report.Violations, v)
}

// index groups the log entries by attempt and echo. Two endpoints could accept
// the same attempt identifier, so the endpoint is part of the key.
func (c *effectCheck) index(logs []standin.EffectLog) {
	type key struct {
		endpoint, instance string
		attempt            model.AttemptID
	}
	byAttempt := map[key]*taskRun{}
	for _, l := range logs {
		if l.Dropped > 0 {
			c.addViolation(InvariantLogComplete, submission{}, fmt.Sprintf("%d entries dropped", l.Dropped))
		}
		for _, e := range l.Effects {
			c.report.Entries++
			if e.Event == standin.EffectStart && e.LeavingMS > leavingGrace.Milliseconds() {
				c.addViolation(InvariantLeaving, submission{echo: e.Echo}, fmt.Sprintf("%s after %d ms", e.Endpoint, e.LeavingMS))
			}
			k := key{e.Endpoint, e.Instance, e.Attempt}
			r := byAttempt[k]
			if r == nil {
				r = &taskRun{attempt: e.Attempt, task: standin.TaskKey(e.Attempt), template: e.Template, start: e.Time(), end: farFuture}
				byAttempt[k] = r
				c.runs[e.Echo] = append(c.runs[e.Echo], r)
				c.report.Attempts++
			}
			r.apply(e)
		}
	}
	for _, runs := range c.runs {
		slices.SortFunc(runs, func(a, b *taskRun) int { return cmp.Compare(a.start.UnixMicro(), b.start.UnixMicro()) })
	}
}

func (r *taskRun) apply(e standin.Effect) {
	switch e.Event {
	case standin.EffectPerformed:
		r.effects++
	case standin.EffectEnd:
		r.end = e.Time()
		r.finished = e.Reason == standin.EndDone || e.Reason == standin.EndFailed
	}
}

// check verifies the invariants for the submissions with one echo value.
func (c *effectCheck) check(echo string, subs []submission) {
	runs := c.runs[echo]
	c.checkNotRun(subs, runs)
	c.checkRan(subs, runs)
	byTask := map[string][]*taskRun{}
	for _, r := range runs {
		byTask[r.task] = append(byTask[r.task], r)
	}
	for _, task := range byTask {
		c.checkOverlap(subs[0], task)
		if !subs[0].idempotent {
			c.checkAtMostOnce(subs[0], task)
		}
	}
}

// checkNotRun finds runs that contradict a not-run answer. A run is explained if
// some submission was sent before it started and was not answered not-run.
func (c *effectCheck) checkNotRun(subs []submission, runs []*taskRun) {
	refused := slices.IndexFunc(subs, func(s submission) bool { return s.verdict == VerdictNotRun })
	if refused < 0 || len(runs) == 0 {
		return
	}
	for _, r := range runs {
		explained := slices.ContainsFunc(subs, func(s submission) bool {
			return s.verdict != VerdictNotRun && !s.sent.Truncate(time.Microsecond).After(r.start)
		})
		if !explained {
			c.addViolation(InvariantNotRun, subs[refused], fmt.Sprintf("answered %s after the start", subs[refused].received.Sub(r.start)), r)
			return
		}
	}
	c.report.ContradictingRepeats++
}

// checkRan finds ran answers without a matching run at an endpoint.
func (c *effectCheck) checkRan(subs []submission, runs []*taskRun) {
	for _, s := range subs {
		if s.verdict != VerdictRan {
			continue
		}
		found := slices.ContainsFunc(runs, func(r *taskRun) bool {
			attemptMatches := s.attempt == "" || r.attempt == s.attempt
			return attemptMatches && r.finished && (s.failed || r.effects > 0) && r.template == s.template
		})
		if !found {
			c.addViolation(InvariantRan, s, fmt.Sprintf("answer names attempt %q", s.attempt), runs...)
		}
	}
}

func (c *effectCheck) checkOverlap(s submission, runs []*taskRun) {
	for i := 1; i < len(runs); i++ {
		if runs[i].start.Before(runs[i-1].end) {
			c.addViolation(InvariantNoOverlap, s, fmt.Sprintf("by %s", runs[i-1].end.Sub(runs[i].start)), runs[i-1], runs[i])
		}
	}
}

func (c *effectCheck) checkAtMostOnce(s submission, runs []*taskRun) {
	n := 0
	for _, r := range runs {
		n += r.effects
	}
	if n > 1 {
		c.addViolation(InvariantAtMostOnce, s, fmt.Sprintf("%d effects", n), runs...)
	}
}
