package explain

import (
	"strings"
	"testing"
)

// TestTimeline guards against a history that lacks lines of some processes, contains lines of other jobs, or is out of
// order.
func TestTimeline(t *testing.T) {
	timeline := New("00000000000000aa")
	first := `{"event":"answer","job":"00000000000000aa","outcome":"stored","time":"2026-01-01T00:00:01.2Z","level":"info","msg":""}
not a decision
{"event":"answer","job":"00000000000000bb","time":"2026-01-01T00:00:01.3Z"}
`
	second := `{"event":"job-ended","job":"00000000000000aa","state":"done","time":"2026-01-01T00:00:04Z"}
{"event":"start","task":"00000000000000aa.0.0.1","run":1,"process":"vm-b","time":"2026-01-01T00:00:01.5Z"}
{"event":"claimed","term":2,"time":"2026-01-01T00:00:02Z"}
{"event":"claimed","term":3,"time":"2026-01-01T00:00:09Z"}
{"event":"advice","step":"00000000000000aa.0.0","good":3,"time":"2026-01-01T00:00:01.1Z"}
{"event":"runner-lost","runner":"r1","just_started":["00000000000000bb.0.0.0 run 1, 5 ms","00000000000000aa.0.0.1 run 1, 9 ms"],"time":"2026-01-01T00:00:03Z"}
{"event":"runner-lost","runner":"r2","just_started":["00000000000000bb.0.0.0 run 1, 5 ms"],"time":"2026-01-01T00:00:03.5Z"}
`
	if err := timeline.Read("a", strings.NewReader(first)); err != nil {
		t.Fatal(err)
	}
	if err := timeline.Read("b", strings.NewReader(second)); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := timeline.Print(&out); err != nil {
		t.Fatal(err)
	}
	var events []string
	for _, text := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		events = append(events, strings.Fields(text)[2])
	}
	if got, want := strings.Join(events, " "), "advice answer start claimed runner-lost job-ended"; got != want {
		t.Errorf("events %q, want %q\n%s", got, want, out.String())
	}
	if err := New("ffffffffffffffff").Print(&out); err == nil {
		t.Error("no error for an identifier that no line mentions")
	}
}
