package decisionlog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// TestSinkNeverBlocks guards against a process that blocks because nothing reads its standard output.
func TestSinkNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe() // a write blocks until it is read
	s := NewSink(writer)
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx)
	const lines = 3 * queuedLines
	started := time.Now()
	for i := range lines {
		if _, err := fmt.Fprintf(s, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(started); took > time.Second {
		t.Fatalf("%d lines took %s", lines, took)
	}
	got := make(chan string, 1)
	go func() {
		data, _ := io.ReadAll(reader) // until the writer is closed
		got <- string(data)
	}()
	for len(s.lines) > 0 {
		time.Sleep(time.Millisecond)
	}
	fmt.Fprintln(s, "last")
	for len(s.lines) > 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	time.Sleep(10 * time.Millisecond)
	_ = writer.Close()
	out := <-got
	if !strings.Contains(out, "log-lines-dropped") || !strings.Contains(out, "line 0\n") {
		t.Errorf("dropped lines are not reported, or the first line is missing: %.200q", out)
	}
}

// TestLimiterBoundsEachEvent guards against a flood of one event (here 20,000 lines in a second) that fills the log or
// suppresses other events.
func TestLimiterBoundsEachEvent(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	l := NewLimiter(log, "vm-1")
	now := time.Unix(1000, 0)
	l.now = func() time.Time { return now }
	const flood = 20_000
	for range flood {
		l.Log("start", logrus.Fields{"runner": "x"})
	}
	l.Log("owner", logrus.Fields{"term": 2})
	if got := strings.Count(out.String(), `"event":"start"`); got != linesPerSecond {
		t.Errorf("%d lines of the flood, want %d", got, linesPerSecond)
	}
	if strings.Count(out.String(), `"event":"owner"`) != 1 {
		t.Error("another event is suppressed by the flood")
	}
	now = now.Add(time.Second)
	l.Log("start", logrus.Fields{"runner": "y"})
	want := fmt.Sprintf(`"lines":%d`, flood-linesPerSecond)
	if !strings.Contains(out.String(), want) || !strings.Contains(out.String(), `"of":"start"`) {
		t.Errorf("the suppressed lines are not reported: want %s", want)
	}
}

// floodedLimiter returns a limiter at its limit of lines of the event start in this second, and its output.
func floodedLimiter() (*Limiter, *bytes.Buffer) {
	out := &bytes.Buffer{}
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{})
	l := NewLimiter(log, "vm-1")
	l.now = func() time.Time { return time.Unix(1000, 0) }
	for range linesPerSecond {
		l.Log("start", logrus.Fields{"runner": "x"})
	}
	return l, out
}

// unsampledJob returns the n-th job that is not sampled.
func unsampledJob(n int) string {
	for i := 0; ; i++ {
		id := fmt.Sprintf("%016x", i)
		if isSampled(id) {
			continue
		}
		if n--; n < 0 {
			return id
		}
	}
}

// TestJobThatEndsBadlyKeepsItsLines guards against a failed job whose starts are missing from the log because they fell
// into a second with many lines (pattern: hundreds of starts a second).
func TestJobThatEndsBadlyKeepsItsLines(t *testing.T) {
	l, out := floodedLimiter()
	bad, good := unsampledJob(0), unsampledJob(1)
	for run := 1; run <= 3; run++ {
		l.Log("start", logrus.Fields{"task": bad + ".0.0.0", "run": run})
		l.Log("start", logrus.Fields{"task": good + ".0.0.0", "run": run})
	}
	if strings.Contains(out.String(), bad) || strings.Contains(out.String(), good) {
		t.Fatal("lines beyond the limit are written before their job has ended")
	}
	l.EndJob(good, false)
	l.EndJob(bad, true)
	if got := strings.Count(out.String(), bad+".0.0.0"); got != 3 {
		t.Errorf("%d starts of the job that ended badly, want 3", got)
	}
	if strings.Contains(out.String(), good) {
		t.Error("the lines of the other job are written")
	}
	if !strings.Contains(out.String(), `"event":"job-lines-kept","job":"`+bad+`","level":"info","lines":3,"msg":"job lines kept","process":"vm-1"`) {
		t.Errorf("the kept lines are not announced: %s", out.String()[max(0, out.Len()-400):])
	}
	l.now = func() time.Time { return time.Unix(1001, 0) }
	l.Log("owner", nil)
	if !strings.Contains(out.String(), `"event":"lines-suppressed","level":"info","lines":3`) {
		t.Error("the dropped lines of the other job are not counted")
	}
}

// TestSampledJobsKeepAllLines guards against a flood in which no job has a whole history.
func TestSampledJobsKeepAllLines(t *testing.T) {
	l, out := floodedLimiter()
	const jobs = 1600
	for i := range jobs {
		l.Log("start", logrus.Fields{"task": fmt.Sprintf("%016x.0.0.0", i)})
	}
	written := strings.Count(out.String(), ".0.0.0")
	if written < jobs/sampledJobs/2 || written > jobs/sampledJobs*2 {
		t.Errorf("%d of %d jobs are written, want about one in %d", written, jobs, sampledJobs)
	}
}

// TestLinesOfOneJobAreBounded guards against a log that one job fills (20,000 lines in a second), whether it is sampled or
// not.
func TestLinesOfOneJobAreBounded(t *testing.T) {
	sampled := 0
	for !isSampled(fmt.Sprintf("%016x", sampled)) {
		sampled++
	}
	for _, job := range []string{fmt.Sprintf("%016x", sampled), unsampledJob(0)} {
		l, out := floodedLimiter()
		for range 20_000 {
			l.Log("start", logrus.Fields{"task": job + ".0.0.0"})
		}
		l.EndJob(job, true)
		if got := strings.Count(out.String(), job); got > sampledLinesPerSecond+keptLinesPerSecond+1 {
			t.Errorf("%d lines of one job", got)
		}
	}
}

// TestHeldLinesAreBounded guards against memory that grows with the lines of jobs that never end.
func TestHeldLinesAreBounded(t *testing.T) {
	h := newHeldLines()
	dropped := 0
	const lines = 4 * maxHeldLines
	for i := range lines {
		job := fmt.Sprint(i / 3)
		dropped += len(h.add(heldLine{job: job}))
		if i%7 == 0 {
			dropped += len(h.take(job))
		}
	}
	if h.lines > maxHeldLines || dropped+h.lines != lines {
		t.Errorf("%d lines are held, %d dropped, of %d", h.lines, dropped, lines)
	}
	if len(h.order) > 4*maxHeldLines {
		t.Errorf("%d entries in the order of jobs", len(h.order))
	}
}
