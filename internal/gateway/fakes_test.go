package gateway

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/configstore"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/settings"
	"github.com/agateyard/agateyard/internal/template"
	"github.com/agateyard/agateyard/internal/timeline"
)

const source = `workspace = "kalnins"
[template.cut-list]
kind = "request"
service = "orders"
idempotent = true
max_body_bytes = 100
[template.confirm]
kind = "request"
service = "orders"
[template.ordered]
kind = "request"
service = "orders"
idempotent = true
ordering_key = "order_id"
[template.render]
kind = "gang"
tasks = 2
cores_milli = 1
memory_mb = 1
[template.paused]
kind = "request"
service = "orders"
idempotent = true
`

// now is the time of the tests. Identifiers are minted relative to it.
var now = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// mintedAt returns a UUIDv7 that was generated at the time.
func mintedAt(t time.Time) string {
	u := uuid.UUID{6: 0x70, 8: 0x80, 15: 1}
	ms := t.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	return u.String()
}

// fakeScheduler answers with what a test sets and keeps what it was given.
type fakeScheduler struct {
	templates map[model.TemplateID]model.Template

	mu        sync.Mutex
	reply     model.Reply
	status    *model.JobStatus
	statusErr error
	notReady  error
	panics    bool
	hangs     bool
	cancelled []model.RequestKey
	submitted []model.Submission
	cell      CellStatus
	filter    JobFilter
}

func (f *fakeScheduler) Template(id model.TemplateID) (model.Template, bool) {
	t, ok := f.templates[id]
	return t, ok
}

func (f *fakeScheduler) GenerateID(model.TemplateID, string) string { return mintedAt(now) }

func (f *fakeScheduler) Submit(ctx context.Context, s model.Submission) model.Reply {
	f.mu.Lock()
	f.submitted = append(f.submitted, s)
	reply, panics, hangs := f.reply, f.panics, f.hangs
	f.mu.Unlock()
	if panics {
		panic("fault of the scheduler")
	}
	if hangs {
		<-ctx.Done()
		return model.Reply{}
	}
	if reply.Outcome == model.OutcomeRan && reply.Answer.Body == nil {
		reply.Answer.Body = s.Body
	}
	return reply
}

func (f *fakeScheduler) Status(_ context.Context, key model.RequestKey) (model.JobStatus, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.statusErr != nil || f.status == nil {
		return model.JobStatus{}, false, f.statusErr
	}
	s := *f.status
	s.Key = key
	return s, true, nil
}

func (f *fakeScheduler) Cancel(_ context.Context, keys []model.RequestKey) ([]model.CancelResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled = keys
	out := make([]model.CancelResult, len(keys))
	for i, k := range keys {
		out[i] = model.CancelResult{Key: k, Found: k.ID != "absent", Outcome: model.OutcomeNotRun}
	}
	return out, nil
}

func (f *fakeScheduler) Cell(context.Context) CellStatus { return f.cell }

func (f *fakeScheduler) Jobs(_ context.Context, filter JobFilter) ([]model.JobStatus, error) {
	f.filter = filter
	return nil, nil
}

func (f *fakeScheduler) Events(_ context.Context, request string) ([]timeline.Event, error) {
	return []timeline.Event{{Name: "queued", Request: request}}, nil
}

func (f *fakeScheduler) Ready() error { return f.notReady }

// fakeConfig keeps documents in memory under the rules of configstore.Store.
type fakeConfig struct {
	mu       sync.Mutex
	cache    *configstore.Cache
	revision uint64
	err      error // of every call
	changes  []configstore.Change
}

func (f *fakeConfig) Apply(_ context.Context, c configstore.Change) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return 0, f.err
	}
	if c.IfRevision != f.revision {
		return 0, &configstore.ConflictError{Name: c.Name, IfRevision: c.IfRevision, InForce: f.revision, Author: "ilze", Diff: "-a\n+b\n"}
	}
	if c.Source != "" {
		if _, err := template.Parse("kalnins.toml", []byte(c.Source)); err != nil {
			return 0, err
		}
	}
	f.revision++
	f.changes = append(f.changes, c)
	return f.revision, nil
}

func (f *fakeConfig) Get(_ context.Context, name string) (configstore.Document, error) {
	if f.err != nil {
		return configstore.Document{}, f.err
	}
	if f.revision == 0 || strings.HasSuffix(name, "absent") {
		return configstore.Document{}, configstore.ErrNoDocument
	}
	return configstore.Document{Revision: f.revision, Author: "ilze", Source: source}, nil
}

func (f *fakeConfig) History(ctx context.Context, name string) ([]configstore.Document, error) {
	d, err := f.Get(ctx, name)
	return []configstore.Document{d}, err
}

// api is a server on fakes.
type api struct {
	*Server
	scheduler *fakeScheduler
	config    *fakeConfig
	registry  *prometheus.Registry
	timeline  *timeline.Recorder
}

func newAPI(t testing.TB) *api {
	doc, err := template.Parse("t", []byte(source))
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeScheduler{templates: map[model.TemplateID]model.Template{}}
	for _, m := range doc.Templates {
		f.templates[m.ID] = m
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	cache := configstore.NewCache(configstore.Options{Log: logrus.NewEntry(log)})
	cache.Offer([]configstore.Doc{
		{Name: configstore.CellName, JSON: []byte(`{"revision":1,"paused":[{"workspace":"kalnins","name":"paused"}]}`)},
		{Name: "workspace/kalnins", JSON: []byte(`{"revision":4,"source":"workspace = \"kalnins\""}`)},
	})
	a := &api{scheduler: f, config: &fakeConfig{cache: cache}, registry: prometheus.NewRegistry()}
	a.timeline = timeline.NewRecorder(timeline.NewClock(time.Now), "test", 16)
	a.Server = New(Options{
		Scheduler:   f,
		Config:      a.config,
		ConfigCache: cache,
		Limits: settings.Limits{
			MaxBodyBytes: 4 << 20, MaxHeaderBytes: 4096, QueueEntries: 4, QueueBytes: 1 << 20, JournalBodyBytes: 64,
		},
		Retention: 15 * time.Minute,
		Registry:  a.registry,
		Timeline:  a.timeline,
		Log:       logrus.NewEntry(log),
		Now:       func() time.Time { return now },
	})
	return a
}

var errDown = errors.New("store unavailable")
