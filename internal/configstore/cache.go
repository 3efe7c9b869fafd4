package configstore

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform"
	"github.com/agateyard/agateyard/internal/template"
	"github.com/agateyard/agateyard/internal/timeline"
)

// Options holds the dependencies and settings of a Cache.
type Options struct {
	Store platform.Store // the key-value service
	Log   *logrus.Entry
	// Timeline records each revision that comes into force; may be nil.
	Timeline *timeline.Recorder
	// WatchWait is how long the store may hold one watch open; 0 means the default.
	WatchWait time.Duration
	// WatchMargin is the time beyond WatchWait after which a watch is considered
	// stalled; 0 means the default.
	WatchMargin time.Duration
}

// Cache holds the documents in force at this process. It is safe for concurrent
// use. A document is replaced only by one with a higher revision.
type Cache struct {
	opts     Options
	contents atomic.Pointer[contents] // never nil; read without a lock
	synced   atomic.Bool              // all documents were read from the store or offered by a ready peer

	mu          sync.Mutex // guards the fields below and is locked while contents is replaced
	documents   map[string]cachedDocument
	subscribers []chan struct{}
}

// cachedDocument is a document in its encoded and parsed forms.
type cachedDocument struct {
	encoded   Doc
	decoded   Document
	templates template.Document // parsed source of a workspace document
}

// NewCache returns an empty cache. Run fills it.
func NewCache(opts Options) *Cache {
	if opts.WatchWait == 0 {
		opts.WatchWait = DefaultWatchWait
	}
	if opts.WatchMargin == 0 {
		opts.WatchMargin = DefaultWatchMargin
	}
	c := &Cache{opts: opts, documents: map[string]cachedDocument{}}
	c.contents.Store(newContents(nil))
	return c
}

// Offer accepts documents from a peer or the store and adopts those with a higher
// revision than the cached one. It returns the number adopted.
func (c *Cache) Offer(docs []Doc) int { return c.adopt(docs) }

// OfferAll is Offer for all documents that a ready peer has, which may be none. It
// makes the cache ready also while the store is unavailable.
func (c *Cache) OfferAll(docs []Doc) int {
	adopted := c.adopt(docs)
	c.synced.Store(true)
	return adopted
}

func (c *Cache) adopt(docs []Doc) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	adopted := 0
	for _, d := range docs {
		if c.adoptOne(d) {
			adopted++
		}
	}
	if adopted > 0 {
		c.contents.Store(newContents(c.documents))
		c.notify()
	}
	return adopted
}

func (c *Cache) adoptOne(d Doc) bool {
	if d.Revision != 0 && d.Revision <= c.documents[d.Name].encoded.Revision {
		return false // saves the parsing; the check below is authoritative
	}
	cached, err := parseDoc(d)
	if err != nil {
		// The cached revision stays in force, and Revisions keeps reporting it.
		c.opts.Log.WithError(err).WithField("document", d.Name).Error("config: document rejected")
		return false
	}
	if cached.encoded.Revision <= c.documents[d.Name].encoded.Revision {
		return false
	}
	c.documents[d.Name] = cached
	c.recordInForce(cached.encoded)
	return true
}

func (c *Cache) recordInForce(d Doc) {
	c.opts.Log.WithField("document", d.Name).WithField("revision", d.Revision).Info("config: revision in force")
	if c.opts.Timeline != nil {
		c.opts.Timeline.Record(timeline.Event{
			Part: "config", Name: "in-force", Detail: fmt.Sprintf("%s revision %d", d.Name, d.Revision),
		})
	}
}

// parseDoc parses and validates a document from the store or a peer. It takes the
// revision from the JSON, not from the Doc.
func parseDoc(d Doc) (cachedDocument, error) {
	if !ValidName(d.Name) {
		return cachedDocument{}, oops.In("configstore").Errorf("%q names no document", d.Name)
	}
	decoded, err := decodeDocument(d.JSON)
	if err != nil {
		return cachedDocument{}, err
	}
	cached := cachedDocument{encoded: Doc{Name: d.Name, Revision: decoded.Revision, JSON: d.JSON}, decoded: decoded}
	workspace, ok := workspaceOf(d.Name)
	if !ok {
		return cached, nil
	}
	cached.templates, err = template.Parse(workspace+".toml", []byte(decoded.Source))
	if err != nil {
		return cachedDocument{}, err
	}
	if cached.templates.Workspace != workspace {
		return cachedDocument{}, oops.In("configstore").Errorf("document is for workspace %q", cached.templates.Workspace)
	}
	return cached, nil
}

func (c *Cache) notify() {
	for _, s := range c.subscribers {
		select {
		case s <- struct{}{}:
		default: // a notification is already pending
		}
	}
}

// Subscribe returns a channel that receives a notification after changes. One
// notification may stand for several changes.
func (c *Cache) Subscribe() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := make(chan struct{}, 1)
	c.subscribers = append(c.subscribers, s)
	return s
}

// Ready reports whether the cache has received all documents from the store or from
// a ready peer at least once. Until then, a template may exist although the cache
// does not have it.
func (c *Cache) Ready() bool { return c.synced.Load() }

// Revisions returns the revision of each document that is in force at this process.
func (c *Cache) Revisions() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint64, len(c.documents))
	for name, cached := range c.documents {
		out[name] = cached.encoded.Revision
	}
	return out
}

// Docs returns the named documents, or all documents if no name is given. Unknown
// names are skipped.
func (c *Cache) Docs(names ...string) []Doc {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(names) == 0 {
		for name := range c.documents {
			names = append(names, name)
		}
		slices.Sort(names)
	}
	var out []Doc
	for _, name := range names {
		if cached, ok := c.documents[name]; ok {
			out = append(out, cached.encoded)
		}
	}
	return out
}

// Document returns the document in force at this process.
func (c *Cache) Document(name string) (Document, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.documents[name]
	return cached.decoded, ok
}

// Template returns the template in force.
func (c *Cache) Template(id model.TemplateID) (model.Template, bool) {
	t, ok := c.contents.Load().byID[id]
	return t, ok
}

// Templates returns all templates, sorted by workspace and name. The slice must
// not be changed.
func (c *Cache) Templates() []model.Template { return c.contents.Load().templates }

// Workspaces returns the sorted names of the workspaces. The slice must not be
// changed.
func (c *Cache) Workspaces() []string { return c.contents.Load().workspaces }

// Drained reports whether an operator has drained the VM.
func (c *Cache) Drained(vm string) bool {
	_, ok := c.contents.Load().drained[vm]
	return ok
}

// Drains returns the drains by VM identifier. The map must not be changed.
func (c *Cache) Drains() map[string]Drain { return c.contents.Load().drained }

// Paused reports whether an operator has paused the template.
func (c *Cache) Paused(id model.TemplateID) bool {
	_, ok := c.contents.Load().paused[id]
	return ok
}
