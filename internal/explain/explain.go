// Package explain prints the history of one job from the decision logs of several processes.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/samber/oops"
)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// line is one line of a decision log.
type line struct {
	source string
	time   string
	event  string
	fields map[string]any
}

// Timeline collects the log lines about a job and those of ownershipEvents. It is unrelated to package timeline.
type Timeline struct {
	id         string
	lines      []line
	ownerLines []line
}

// New returns an empty timeline of a job.
func New(id string) *Timeline {
	return &Timeline{id: id}
}

// ownershipEvents are the events that show which process was the owner and which processes reached the store.
var ownershipEvents = map[string]bool{"claimed": true, "owner": true, "ownership-ended": true, "store-lost": true, "store-regained": true}

// Read adds the lines of one process. It skips lines that aren't JSON, as other programs may write to the same log.
func (t *Timeline) Read(source string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		decoder := json.NewDecoder(strings.NewReader(text[start:]))
		decoder.UseNumber() // identifiers of incarnations have 13 digits, which a float64 would print in exponent notation
		var fields map[string]any
		if decoder.Decode(&fields) != nil {
			continue
		}
		t.add(source, fields)
	}
	if err := scanner.Err(); err != nil {
		return oops.Wrapf(err, "read %s", source)
	}
	return nil
}

func (t *Timeline) add(source string, fields map[string]any) {
	at, _ := fields["time"].(string)
	event, _ := fields["event"].(string)
	if process, ok := fields["process"].(string); ok {
		source = process
		delete(fields, "process")
	}
	l := line{source: source, time: at, event: event, fields: fields}
	if l.concerns(t.id) {
		t.lines = append(t.lines, l)
		return
	}
	if ownershipEvents[event] {
		t.ownerLines = append(t.ownerLines, l)
	}
}

// taskFields are the fields that name a job, or one or more of its tasks at the beginning of their text.
var taskFields = []string{"job", "task", "step", "just_started", "suspects"}

// concerns reports whether the line names the job or one of its tasks.
func (l *line) concerns(id string) bool {
	for _, name := range taskFields {
		switch value := l.fields[name].(type) {
		case string:
			if strings.HasPrefix(value, id) {
				return true
			}
		case []any:
			for _, entry := range value {
				if text, ok := entry.(string); ok && strings.HasPrefix(text, id) {
					return true
				}
			}
		}
	}
	return false
}

// Print writes the history in chronological order, including the lines of ownershipEvents between the job's first and
// last line.
func (t *Timeline) Print(w io.Writer) error {
	if len(t.lines) == 0 {
		return oops.Errorf("no log line mentions %s", t.id)
	}
	byTime := func(lines []line) {
		sort.SliceStable(lines, func(i, k int) bool { return lines[i].time < lines[k].time })
	}
	byTime(t.lines)
	first, last := t.lines[0].time, t.lines[len(t.lines)-1].time
	all := append([]line(nil), t.lines...)
	for _, l := range t.ownerLines {
		if l.time >= first && l.time <= last {
			all = append(all, l)
		}
	}
	byTime(all)
	for _, l := range all {
		if _, err := fmt.Fprintf(w, "%s  %-16s %-14s %s\n", l.time, l.source, l.event, l.details()); err != nil {
			return oops.Wrapf(err, "print")
		}
	}
	return nil
}

// details returns the remaining non-empty fields, sorted by name.
func (l *line) details() string {
	var names []string
	for name, value := range l.fields {
		if name != "time" && name != "event" && name != "level" && name != "msg" && value != "" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, l.fields[name]))
	}
	return strings.Join(parts, " ")
}
