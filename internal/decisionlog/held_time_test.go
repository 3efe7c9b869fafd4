package decisionlog

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// TestHeldLinesCarryTheTimeOfLogging guards against held lines of a job that carry the time at which they are printed, when
// the job ends: a reader would take its first start for late by the duration of the job.
func TestHeldLinesCarryTheTimeOfLogging(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	l := NewLimiter(logger, "vm-1")
	now := time.Unix(1000, 0)
	l.now = func() time.Time { return now }
	for range linesPerSecond {
		l.Log("start", logrus.Fields{"runner": "x"})
	}
	job := unsampledJob(0)
	fields := logrus.Fields{"task": job + ".0.0.0"}
	logged := now.Add(100 * time.Millisecond)
	now = logged
	l.Log("start", fields)
	now = now.Add(30 * time.Second)
	out.Reset()
	l.EndJob(job, true)
	var line struct {
		Time  time.Time `json:"time"`
		Event string    `json:"event"`
	}
	if err := json.NewDecoder(&out).Decode(&line); err != nil {
		t.Fatal(err)
	}
	if line.Event != "start" || !line.Time.Equal(logged) {
		t.Errorf("line %+v, want the time %s", line, logged)
	}
}
