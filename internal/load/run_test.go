package load

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/agateyard/agateyard/internal/endpoint/standin"
	"github.com/agateyard/agateyard/internal/model"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a check that misses a violated invariant or reports one that
// holds.
func TestFindsViolatedInvariants(t *testing.T) {
	for _, c := range []struct {
		bug    bug
		change func(*Stream)
		want   []string // each must be reported, and nothing else
	}{
		{bugNone, nil, nil},
		{bugNone, func(s *Stream) { s.Repeat = 0.5 }, nil},
		{bugNone, func(s *Stream) { s.Mode, s.Identifier = ModeJob, IdentifierNone }, nil},
		{bugNone, func(s *Stream) { s.Mode, s.Identifier = ModeService, IdentifierServer }, nil},
		{bugNone, func(s *Stream) { s.FailRate = 0.5 }, nil},
		{bugRefusesFirst, nil, nil},
		{bugRefusesFirst, func(s *Stream) { s.Repeat, s.RepeatAfter = 1, Duration(20*time.Millisecond) }, nil},
		{bugDropsConnection, func(s *Stream) { s.Resends = 1 }, nil},
		{bugNotRun, nil, []string{string(InvariantNotRun)}},
		{bugSequentialDuplicate, nil, []string{string(InvariantAtMostOnce)}},
		{bugSequentialDuplicate, func(s *Stream) { s.Idempotent = true }, nil},
		{bugConcurrentDuplicate, func(s *Stream) { s.Idempotent = true }, []string{string(InvariantNoOverlap)}},
		{bugSwapped, nil, []string{"wrong answer: answer to", string(InvariantRan)}},
		{bugTruncated, nil, []string{"wrong answer: answer is not whole"}},
	} {
		t.Run(string(c.bug), func(t *testing.T) {
			f := newFakeEntry(t, c.bug)
			failures := f.load(f.scenario(c.change)).Failures()
			for _, want := range c.want {
				if !slices.ContainsFunc(failures, func(got string) bool { return strings.Contains(got, want) }) {
					t.Errorf("not reported: %s", want)
				}
			}
			for _, got := range failures {
				if !slices.ContainsFunc(c.want, func(want string) bool { return strings.Contains(got, want) }) {
					t.Errorf("unexpected: %s", got)
				}
			}
		})
	}
}

// Guards against counts that omit requests, or that count the success of a retry
// as the result of the first submission.
func TestCountsAddUp(t *testing.T) {
	f := newFakeEntry(t, bugRefusesFirst)
	rep := f.load(f.scenario(func(s *Stream) { s.Retries = 1 }))
	c := rep.Total[0].Counts
	if c.Sent != c.Ran+c.NotRun+c.Unknown+c.Error+c.Running || c.Retried != c.Sent || c.NotRun != c.Sent {
		t.Errorf("counts do not add up: %+v", c)
	}
	// A retry has a new identifier, so the fake entry refuses it too.
	if n := rep.Total[0].Refusal.Count; n != int64(2*c.Sent) {
		t.Errorf("%d refusals measured, want %d", n, 2*c.Sent)
	}
	var table bytes.Buffer
	if err := rep.Table(&table); err != nil || !strings.Contains(table.String(), "no promise broken") {
		t.Errorf("table: %v\n%s", err, table.String())
	}
	if _, err := json.Marshal(rep); err != nil {
		t.Errorf("report as JSON: %v", err)
	}
}

// Guards against coordinated omission: a stall of the system must show in the
// latency of all requests with an intended send time during the stall, and
// sending must continue. The stall ends when all requests have been sent, which
// never happens if sending waits for answers.
func TestStallShowsInLatency(t *testing.T) {
	f := newFakeEntry(t, bugNone)
	s := f.scenario(nil)
	s.Faults = []Fault{{
		At:   Duration(20 * time.Millisecond),
		URL:  "http://" + f.runner.Address() + "/admin/faults",
		Body: `{"freeze": true}`,
	}}
	total := 0
	for a := newArrivals(s, 0, &s.Streams[0]); ; total++ {
		if _, ok := a.next(); !ok {
			break
		}
	}
	sent := make(chan int, 1)
	go func() {
		for deadline := time.Now().Add(3 * time.Second); f.submitted() < total && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		n := f.submitted()
		time.Sleep(200 * time.Millisecond) // part of the stall
		f.runner.SetFaults(standin.Faults{})
		sent <- n
	}()
	rep := f.load(s)
	if n := <-sent; n != total {
		t.Errorf("%d of %d requests were sent during the stall", n, total)
	}
	if len(rep.Faults) != 1 || rep.Faults[0].Status != 200 {
		t.Fatalf("fault was not injected: %+v", rep.Faults)
	}
	counts := rep.Total[0]
	if counts.Latency.P50 < 150 || counts.Counts.Ran != counts.Counts.Sent {
		t.Errorf("latency hides the stall: %+v %+v", counts.Latency, counts.Counts)
	}
}

// Guards against an unbounded number of outstanding requests when the system does
// not answer.
func TestOutstandingLimit(t *testing.T) {
	var open, most atomic.Int64
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if n := open.Add(1); n > most.Load() {
			most.Store(n)
		}
		<-release
	}))
	defer s.Close()
	f := newFakeEntry(t, bugNone)
	sc := f.scenario(func(st *Stream) { st.Limit = Duration(400 * time.Millisecond) })
	sc.Entries, sc.MaxOutstanding = []string{s.URL[len("http://"):]}, 10
	rep, err := Run(t.Context(), sc, Options{})
	close(release)
	c := rep.Total[0].Counts
	if err != nil || most.Load() > 10 || c.Dropped == 0 || c.Error != c.Sent {
		t.Errorf("%d outstanding, %+v, %v", most.Load(), c, err)
	}
}

// Guards against load that is not reproducible from its seed, and against rates
// or run times that differ from those of the scenario.
func TestArrivals(t *testing.T) {
	st := Stream{Workspace: "w", Template: "t", Run: Distribution{Shape: ShapeLogNormal, Mean: Duration(50 * time.Millisecond), Sigma: 1}}.withDefaults()
	s := Scenario{Seed: 7, Streams: []Stream{st}, Phases: []Phase{{Duration: Duration(100 * time.Second), Rates: map[string]float64{"w/t": 100}}}}
	draw := func(seed uint64) (at []time.Duration, run time.Duration) {
		s.Seed = seed
		for a := newArrivals(s, 0, &st); ; {
			next, ok := a.next()
			if !ok {
				return at, run / time.Duration(len(at))
			}
			at, run = append(at, next.offset), run+next.runTime
		}
	}
	first, mean := draw(7)
	again, _ := draw(7)
	other, _ := draw(8)
	if !slices.Equal(first, again) || slices.Equal(first, other) {
		t.Error("arrivals do not follow the seed")
	}
	// Four standard deviations of 10,000 Poisson arrivals.
	if d := math.Abs(float64(len(first) - 10_000)); d > 400 {
		t.Errorf("%d arrivals, want about 10000", len(first))
	}
	if mean < 46*time.Millisecond || mean > 54*time.Millisecond {
		t.Errorf("mean run time %v, want about 50ms", mean)
	}
}

// Guards against scenario files in the repository that no longer parse, and
// against invalid scenarios that are accepted.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("../../scenarios/*.toml")
	if err != nil || len(files) < 3 {
		t.Fatalf("scenario files: %v, %v", files, err)
	}
	for _, f := range files {
		if _, err := ReadScenario(f); err != nil {
			t.Error(err)
		}
	}
	const head = "[[stream]]\nworkspace = \"w\"\ntemplate = \"t\"\n"
	const phase = "[[phase]]\nduration = \"1s\"\n"
	for text, want := range map[string]string{
		"":                                       "needs a phase",
		head + phase + "rates = {\"w/x\" = 1}":   "unknown stream",
		head + "ratio = 1\n" + phase:             "line 4, column 1: unknown key \"stream.ratio\"",
		head + "limit = \"2 seconds\"\n" + phase: "unknown unit",
		head + "mode = \"batch\"\n" + phase:      "unknown mode",
		head + "repeat = 0.1\nidentifier = \"none\"\n" + phase:      "need an identifier",
		head + phase + "[[fault]]\nat = \"1s\"\nurl = \"host:1/x\"": "not an http URL",
		head + head + phase: "used twice",
	} {
		if _, err := ParseScenario([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
}

// Guards against a check that accepts an incomplete log, or that takes the tasks
// of a gang for duplicate runs of one task.
func TestCheckEffects(t *testing.T) {
	at := time.Unix(1000, 0)
	entry := func(event standin.EffectEvent, key string, ms int64) standin.Effect {
		return standin.Effect{
			Event: event, Endpoint: "e", Attempt: model.AttemptID(key), Template: "w/t", Echo: "x",
			Reason: standin.EndDone, AtMicros: at.UnixMicro() + ms*1000,
		}
	}
	run := func(key string, from, to int64) []standin.Effect {
		return []standin.Effect{
			entry(standin.EffectStart, key, from), entry(standin.EffectPerformed, key, to), entry(standin.EffectEnd, key, to),
		}
	}
	sub := func(v Verdict, sentMS int64) submission {
		return submission{echo: "x", template: "w/t", verdict: v, sent: at.Add(time.Duration(sentMS) * time.Millisecond)}
	}
	leaving := func(entries []standin.Effect, ms int64) []standin.Effect {
		entries[0].LeavingMS = ms
		return entries
	}
	for name, c := range map[string]struct {
		subs    []submission
		effects []standin.Effect
		dropped int
		want    []Invariant
	}{
		"gang":              {[]submission{sub(VerdictRan, 0)}, append(run("1.a.0.n", 1, 5), run("1.a.1.n", 1, 5)...), 0, nil},
		"same task":         {[]submission{sub(VerdictRan, 0)}, append(run("1.a.0.n", 1, 5), run("1.a.0.m", 4, 9)...), 0, []Invariant{InvariantNoOverlap, InvariantAtMostOnce}},
		"no end":            {[]submission{sub(VerdictError, 0)}, append(run("1.a.0.n", 1, 5)[:1], run("1.a.0.m", 9, 9)[:1]...), 0, []Invariant{InvariantNoOverlap}},
		"dropped":           {[]submission{sub(VerdictRan, 0)}, run("1.a.0.n", 1, 5), 3, []Invariant{InvariantLogComplete}},
		"ran without a run": {[]submission{sub(VerdictRan, 0)}, nil, 0, []Invariant{InvariantRan}},
		"unknown":           {[]submission{sub(VerdictUnknown, 0)}, run("1.a.0.n", 1, 5)[:1], 0, nil},
		"refused, started":  {[]submission{sub(VerdictNotRun, 0)}, run("1.a.0.n", 1, 5)[:1], 0, []Invariant{InvariantNotRun}},
		"resubmission ran":  {[]submission{sub(VerdictNotRun, 0), sub(VerdictRan, 3)}, run("1.a.0.n", 4, 5), 0, nil},
		"leaving":           {[]submission{sub(VerdictRan, 0)}, leaving(run("1.a.0.n", 1, 5), 3001), 0, []Invariant{InvariantLeaving}},
		"just announced":    {[]submission{sub(VerdictRan, 0)}, leaving(run("1.a.0.n", 1, 5), 2999), 0, nil},
		"earlier run":       {[]submission{sub(VerdictNotRun, 0), sub(VerdictRan, 3)}, run("1.a.0.n", 2, 5), 0, []Invariant{InvariantNotRun}},
	} {
		rep := checkEffects(c.subs, []standin.EffectLog{{Effects: c.effects, Dropped: c.dropped}}, 1)
		var got []Invariant
		for _, v := range rep.Violations {
			got = append(got, v.Invariant)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: violations %q, want %q", name, got, c.want)
		}
	}
}

// Guards against a check that misses jobs started out of order within an ordering
// key, or that reports jobs whose order is not defined.
func TestCheckOrder(t *testing.T) {
	at := time.Unix(1000, 0)
	ms := func(n int) time.Time { return at.Add(time.Duration(n) * time.Millisecond) }
	sub := func(echo, ordering string, sent, accepted int) submission {
		return submission{echo: echo, template: "w/t", stream: "w/t", ordering: ordering, verdict: VerdictUnknown, sent: ms(sent), accepted: ms(accepted)}
	}
	start := func(echo string, n int) standin.Effect {
		return standin.Effect{Event: standin.EffectStart, Endpoint: "e", Attempt: model.AttemptID("1." + echo + ".0.n"), Echo: echo, AtMicros: ms(n).UnixMicro()}
	}
	for name, c := range map[string]struct {
		subs    []submission
		effects []standin.Effect
		want    int
	}{
		"in order":               {[]submission{sub("a", "k", 0, 2), sub("b", "k", 3, 4)}, []standin.Effect{start("a", 5), start("b", 6)}, 0},
		"overtaken":              {[]submission{sub("a", "k", 0, 2), sub("b", "k", 3, 4)}, []standin.Effect{start("a", 6), start("b", 5)}, 1},
		"concurrent":             {[]submission{sub("a", "k", 0, 4), sub("b", "k", 3, 4)}, []standin.Effect{start("a", 6), start("b", 5)}, 0},
		"other key":              {[]submission{sub("a", "k", 0, 2), sub("b", "l", 3, 4)}, []standin.Effect{start("a", 6), start("b", 5)}, 0},
		"third before first two": {[]submission{sub("a", "k", 0, 1), sub("b", "k", 2, 3), sub("c", "k", 4, 5)}, []standin.Effect{start("a", 9), start("b", 9), start("c", 7)}, 1},
	} {
		rep := checkEffects(c.subs, []standin.EffectLog{{Effects: c.effects}}, 1)
		if len(rep.Violations) != c.want {
			t.Errorf("%s: violations %v, want %d", name, rep.Violations, c.want)
		}
	}
}
