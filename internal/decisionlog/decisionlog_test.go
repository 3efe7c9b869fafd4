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
	l := NewLimiter(log)
	now := time.Unix(1000, 0)
	l.now = func() time.Time { return now }
	const flood = 20_000
	for range flood {
		l.Log("start", logrus.Fields{"task": "x"})
	}
	l.Log("owner", logrus.Fields{"term": 2})
	if got := strings.Count(out.String(), `"event":"start"`); got != linesPerSecond {
		t.Errorf("%d lines of the flood, want %d", got, linesPerSecond)
	}
	if strings.Count(out.String(), `"event":"owner"`) != 1 {
		t.Error("another event is suppressed by the flood")
	}
	now = now.Add(time.Second)
	l.Log("start", logrus.Fields{"task": "y"})
	want := fmt.Sprintf(`"lines":%d`, flood-linesPerSecond)
	if !strings.Contains(out.String(), want) || !strings.Contains(out.String(), `"of":"start"`) {
		t.Errorf("the suppressed lines are not reported: want %s", want)
	}
}
