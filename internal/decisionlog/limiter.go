package decisionlog

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

const (
	// linesPerSecond is the number of lines of one event in a second up to which every line is written.
	linesPerSecond = 200
	// sampledJobs is the share of jobs, one in so many, whose lines are written beyond that.
	sampledJobs = 16
	// sampledLinesPerSecond limits the lines of sampled jobs that are written beyond it in a second.
	sampledLinesPerSecond = 500
	// keptLinesPerSecond limits the held lines of jobs that ended badly which are written in a second.
	keptLinesPerSecond = 1000
)

// Limiter limits the rate of log lines for each event. Beyond the limit, the lines of a job are held until the job ends:
// if it ends badly they are written after all. Other lines beyond the limit are dropped; their number is logged with the
// first line of a later second.
type Limiter struct {
	log        *logrus.Entry
	now        func() time.Time
	mu         sync.Mutex
	second     int64
	counts     map[string]int // lines of an event in this second
	suppressed map[string]int // lines of an event that were not written
	held       *heldLines
	sampled    int // lines of sampled jobs written beyond the limit in this second
	kept       int // held lines written in this second
}

// NewLimiter returns a limiter that writes to log. Each line has the name of the process.
func NewLimiter(log *logrus.Logger, process string) *Limiter {
	return &Limiter{
		log: log.WithField("process", process), now: time.Now, counts: map[string]int{}, suppressed: map[string]int{}, held: newHeldLines(),
	}
}

// Log writes one line for an event, holds it, or only counts it.
func (l *Limiter) Log(event string, fields logrus.Fields) {
	now := l.now()
	job := jobOf(fields)
	l.mu.Lock()
	suppressed := l.rollSecond(now)
	l.counts[event]++
	write := l.counts[event] <= linesPerSecond
	if !write && isSampled(job) && l.sampled < sampledLinesPerSecond {
		l.sampled++
		write = true
	}
	switch {
	case write:
	case job != "":
		l.count(l.held.add(heldLine{job: job, event: event, fields: fields, at: now}))
	default:
		l.suppressed[event]++
	}
	l.mu.Unlock()
	for name, n := range suppressed {
		l.write("lines-suppressed", logrus.Fields{"of": name, "lines": n}, now)
	}
	if write {
		l.write(event, fields, now)
	}
}

// EndJob writes the held lines of a job that ended badly, with the times at which they were logged, and drops those of
// any other job.
func (l *Limiter) EndJob(job string, badly bool) {
	l.mu.Lock()
	lines := l.held.take(job)
	if !badly || l.kept+len(lines) > keptLinesPerSecond {
		l.count(lines)
		lines = nil
	}
	l.kept += len(lines)
	l.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	for _, line := range lines {
		l.write(line.event, line.fields, line.at)
	}
	l.write("job-lines-kept", logrus.Fields{"job": job, "lines": len(lines)}, l.now())
}

func (l *Limiter) write(event string, fields logrus.Fields, at time.Time) {
	l.log.WithTime(at).WithFields(fields).WithField("event", event).Info(strings.ReplaceAll(event, "-", " "))
}

// count adds lines that are not written to the number of suppressed lines.
func (l *Limiter) count(lines []heldLine) {
	for _, line := range lines {
		l.suppressed[line.event]++
	}
}

// rollSecond resets the counters if a new second has started and returns the number of suppressed lines by event.
func (l *Limiter) rollSecond(now time.Time) map[string]int {
	if now.Unix() == l.second {
		return nil
	}
	l.second = now.Unix()
	l.sampled, l.kept = 0, 0
	clear(l.counts)
	out := l.suppressed
	if len(out) > 0 {
		l.suppressed = map[string]int{}
	}
	return out
}

// isSampled reports whether the lines of a job are written beyond the limit.
func isSampled(job string) bool { return job != "" && xxhash.Sum64String(job)%sampledJobs == 0 }

// jobOf returns the identifier of the job that a line is about; "" if it is about none.
func jobOf(fields logrus.Fields) string {
	if job, ok := fields["job"].(string); ok {
		return job
	}
	for _, name := range []string{"task", "step"} {
		if id, ok := fields[name].(string); ok {
			job, _, _ := strings.Cut(id, ".")
			return job
		}
	}
	return ""
}

// ErrorText returns the text of an error for a log field, "" for nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
