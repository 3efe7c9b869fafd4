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

// effectsTimeout bounds the reading of one effect log.
const effectsTimeout = 30 * time.Second

// leavingBound is how long an endpoint that is leaving may still get new work.
const leavingBound = 3 * time.Second

// Invariant names a promise of the system.
type Invariant string

// The promises that the effect logs can show to be broken.
const (
	InvariantNotRun      Invariant = "reported not-run, but started"
	InvariantAtMostOnce  Invariant = "non-idempotent request has more than one effect"
	InvariantNoOverlap   Invariant = "two runs of one task overlap"
	InvariantRan         Invariant = "reported ran, but the endpoints have no such run"
	InvariantOrder       Invariant = "request started before an earlier one with its ordering key"
	InvariantLeaving     Invariant = "endpoint got new work long after it announced that it leaves"
	InvariantLogComplete Invariant = "effect log is incomplete, nothing is proven"
)

// Violation is a broken promise.
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

// EffectReport is the result of the check.
type EffectReport struct {
	Endpoints   int         `json:"endpoints"` // addresses read
	Entries     int         `json:"entries"`
	Attempts    int         `json:"attempts"`
	Submissions int         `json:"submissions"`
	Violations  []Violation `json:"violations"`
	// ContradictingRepeats counts identifiers of which one submission was answered
	// not-run, and another that was sent at the same time or later ran. That is
	// allowed, but wasteful.
	ContradictingRepeats int `json:"contradicting_repeats"`
}

// fetchEffects reads the logs of all addresses (ip:port).
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

// taskRun is one attempt as the endpoints logged it.
type taskRun struct {
	attempt  model.AttemptID
	task     string
	template string
	start    time.Time
	end      time.Time // far in the future while it runs
	effects  int
	done     bool // ended by itself, with or without success
}

// farFuture stands for the end of a run that has none.
var farFuture = time.Unix(1<<40, 0)

// effectCheck compares submissions with runs.
type effectCheck struct {
	runs   map[string][]*taskRun // by echo, ordered by start
	report *EffectReport
}

// checkEffects verifies the promises.
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

func (c *effectCheck) add(p Invariant, s submission, detail string, runs ...*taskRun) {
	v := Violation{Invariant: p, Stream: s.stream, Echo: s.echo, Detail: detail}
	for _, r := range runs {
		v.Attempts = append(v.Attempts, r.attempt)
	}
	c.report.Violations = append(c.report.Violations, v)
}

// index groups the log entries by attempt and echo. An attempt identifier
// could be accepted by two endpoints, so the endpoint is part of the key.
func (c *effectCheck) index(logs []standin.EffectLog) {
	type key struct {
		endpoint, instance string
		attempt            model.AttemptID
	}
	byAttempt := map[key]*taskRun{}
	for _, l := range logs {
		if l.Dropped > 0 {
			c.add(InvariantLogComplete, submission{}, fmt.Sprintf("%d entries dropped", l.Dropped))
		}
		for _, e := range l.Effects {
			c.report.Entries++
			if e.Event == standin.EffectStart && e.LeavingMS > leavingBound.Milliseconds() {
				c.add(InvariantLeaving, submission{echo: e.Echo}, fmt.Sprintf("%s after %d ms", e.Endpoint, e.LeavingMS))
			}
			k := key{e.Endpoint, e.Instance, e.Attempt}
			r := byAttempt[k]
			if r == nil {
				r = &taskRun{attempt: e.Attempt, task: standin.TaskKey(e.Attempt), template: e.Template, start: e.Time(), end: farFuture}
				byAttempt[k] = r
				c.runs[e.Echo] = append(c.runs[e.Echo], r)
				c.report.Attempts++
			}
			r.note(e)
		}
	}
	for _, runs := range c.runs {
		slices.SortFunc(runs, func(a, b *taskRun) int { return cmp.Compare(a.start.UnixMicro(), b.start.UnixMicro()) })
	}
}

func (r *taskRun) note(e standin.Effect) {
	switch e.Event {
	case standin.EffectPerformed:
		r.effects++
	case standin.EffectEnd:
		r.end = e.Time()
		r.done = e.Reason == standin.EndDone || e.Reason == standin.EndFailed
	}
}

// check verifies the promises on one identifier.
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

// checkNotRun finds runs that no submission explains: a run belongs to a
// submission that was sent before it started and not answered not-run.
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
			c.add(InvariantNotRun, subs[refused], fmt.Sprintf("answered %s after the start", subs[refused].received.Sub(r.start)), r)
			return
		}
	}
	c.report.ContradictingRepeats++
}

// checkRan finds answers that no run at an endpoint stands behind.
func (c *effectCheck) checkRan(subs []submission, runs []*taskRun) {
	for _, s := range subs {
		if s.verdict != VerdictRan {
			continue
		}
		found := slices.ContainsFunc(runs, func(r *taskRun) bool {
			named := s.attempt == "" || r.attempt == s.attempt
			return named && r.done && (s.failed || r.effects > 0) && r.template == s.template
		})
		if !found {
			c.add(InvariantRan, s, fmt.Sprintf("answer names attempt %q", s.attempt), runs...)
		}
	}
}

func (c *effectCheck) checkOverlap(s submission, runs []*taskRun) {
	for i := 1; i < len(runs); i++ {
		if runs[i].start.Before(runs[i-1].end) {
			c.add(InvariantNoOverlap, s, fmt.Sprintf("by %s", runs[i-1].end.Sub(runs[i].start)), runs[i-1], runs[i])
		}
	}
}

func (c *effectCheck) checkAtMostOnce(s submission, runs []*taskRun) {
	n := 0
	for _, r := range runs {
		n += r.effects
	}
	if n > 1 {
		c.add(InvariantAtMostOnce, s, fmt.Sprintf("%d effects", n), runs...)
	}
}
