package shard

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// benchTable returns a table that owns all shards and has the test templates with a long
// maximum wait.
func benchTable(rnd *rand.Rand) *Table {
	templates := testTemplates()
	for id, t := range templates {
		t.MaxWait = time.Hour
		templates[id] = t
	}
	table := New(Config{}, rnd)
	table.SetTemplates(epoch, templates)
	for s := range model.ShardID(model.ShardCount) {
		table.Own(epoch, s, Recovery{})
		table.Replayed(epoch, s)
	}
	return table
}

func benchSubmission(template string, now time.Time, rnd *rand.Rand) model.Submission {
	id := model.TemplateID{Workspace: "w", Name: template}
	return model.Submission{
		Key:  model.RequestKey{Template: id, ID: newUUIDv7(now, rnd)},
		Body: []byte(`{"order": "4711", "run_ms": 50}`),
	}
}

// heapBytes returns the heap bytes in use after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkQueued measures a table with many queued requests: the memory per request
// (bytes/job), and the Demand and Tick calls that the event loop makes.
func BenchmarkQueued(b *testing.B) {
	for _, count := range []int{1000, 15000, 150000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			rnd := rand.New(rand.NewSource(1))
			before := heapBytes()
			table := benchTable(rnd)
			started := time.Now()
			for i := range count {
				table.Submit(epoch, benchSubmission("job", epoch, rnd), WaiterID(i))
			}
			submit := time.Since(started)
			used := heapBytes() - before
			b.ResetTimer()
			for i := range b.N {
				now := epoch.Add(time.Duration(i) * time.Microsecond)
				if d := table.Demand(now); len(d) != 1 || d[0].Count != count {
					b.Fatalf("demand %+v", d)
				}
				table.Tick(now)
			}
			b.ReportMetric(float64(used)/float64(count), "bytes/job")
			b.ReportMetric(float64(submit.Nanoseconds())/float64(count), "ns/submit")
		})
	}
}

// BenchmarkRecord measures a complete non-idempotent request and the memory of its
// at-most-once record. 79,200 is 88 requests per second, the rate of one writer in
// BenchmarkAppendOverHTTP of package journal, for 15 minutes.
func BenchmarkRecord(b *testing.B) {
	for _, count := range []int{1000, 10000, 79200} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for range b.N {
				rnd := rand.New(rand.NewSource(1))
				before := heapBytes()
				table := benchTable(rnd)
				started := time.Now()
				for i := range count {
					runOnce(b, table, i, rnd)
				}
				elapsed := time.Since(started)
				b.ReportMetric(float64(heapBytes()-before)/float64(count), "bytes/record")
				b.ReportMetric(float64(elapsed.Nanoseconds())/float64(count), "ns/request")
				runtime.KeepAlive(table)
			}
		})
	}
}

// runOnce runs one non-idempotent request from its submission to its record.
func runOnce(b *testing.B, table *Table, i int, rnd *rand.Rand) {
	s := benchSubmission("charge", epoch, rnd)
	table.Submit(epoch, s, WaiterID(i))
	d := table.Demand(epoch)[0]
	fx, ok := table.Bind(epoch, model.Grant{
		ID: uint64(i), Pool: runnerPool, Template: d.Template, Resources: d.Resources, Endpoints: []string{"e1"},
	})
	if !ok || len(fx.Records) != 1 {
		b.Fatalf("bind: %v %+v", ok, fx)
	}
	fx = table.IntentDurable(epoch, fx.Records[0].Attempt())
	if len(fx.Starts) != 1 {
		b.Fatalf("starts %+v", fx)
	}
	answer := model.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 200)}
	table.Settle(epoch, model.Settled{Attempt: fx.Starts[0].Attempt, End: model.AttemptEnded, Answer: answer, HasAnswer: true})
	if _, known := table.Status(s.Key); !known {
		b.Fatal("no record was kept")
	}
}
