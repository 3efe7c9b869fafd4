package decisionlog

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// linesPerSecond is the maximum number of lines of one event in a second. Lines beyond it are dropped; their number is
// logged with the first line of a later second.
const linesPerSecond = 200

// Limiter limits the rate of log lines for each event.
type Limiter struct {
	log    *logrus.Logger
	now    func() time.Time
	mu     sync.Mutex
	second int64
	counts map[string]int
}

// NewLimiter returns a limiter that writes to log.
func NewLimiter(log *logrus.Logger) *Limiter {
	return &Limiter{log: log, now: time.Now, counts: map[string]int{}}
}

// Log writes one line for an event, or only counts it if the event has reached its limit in this second.
func (l *Limiter) Log(event string, fields logrus.Fields) {
	l.mu.Lock()
	suppressed := l.rollSecond()
	l.counts[event]++
	over := l.counts[event] > linesPerSecond
	l.mu.Unlock()
	for name, n := range suppressed {
		l.log.WithFields(logrus.Fields{"event": "lines-suppressed", "of": name, "lines": n}).Info("too many lines in a second")
	}
	if over {
		return
	}
	l.log.WithFields(fields).WithField("event", event).Info()
}

// ErrorText returns the text of an error for a log field, "" for nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// rollSecond resets the counters if a new second has started and returns the number of suppressed lines by event.
func (l *Limiter) rollSecond() map[string]int {
	now := l.now().Unix()
	if now == l.second {
		return nil
	}
	l.second = now
	var out map[string]int
	for name, n := range l.counts {
		if n > linesPerSecond {
			if out == nil {
				out = map[string]int{}
			}
			out[name] = n - linesPerSecond
		}
	}
	clear(l.counts)
	return out
}
