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

// Options are the parts of a Cache.
type Options struct {
	Store platform.Store
	Log   *logrus.Entry
	// Timeline records each revision that comes into force; may be nil.
	Timeline *timeline.Recorder
	// WatchWait is the time that one watch stays pending; 0 takes the default.
	WatchWait time.Duration
	// WatchMargin is the time beyond WatchWait after which a watch counts as
	// stalled; 0 takes the default.
	WatchMargin time.Duration
}

// Cache holds the documents in force at this process. It is safe for concurrent
// use. A document is only ever replaced by one with a higher revision.
type Cache struct {
	opts Options
	view atomic.Pointer[contents] // never nil; readers take no lock
	sync atomic.Bool              // all documents were read from the store or offered by a peer

	mu   sync.Mutex // held while contents are replaced
	held map[string]held
	subs []chan struct{}
}

// held is a document with its parsed form.
type held struct {
	doc       Doc
	document  Document
	templates template.Document
}

// NewCache returns an empty cache. Run fills it.
func NewCache(opts Options) *Cache {
	if opts.WatchWait == 0 {
		opts.WatchWait = DefaultWatchWait
	}
	if opts.WatchMargin == 0 {
		opts.WatchMargin = DefaultWatchMargin
	}
	c := &Cache{opts: opts, held: map[string]held{}}
	c.view.Store(newContents(nil))
	return c
}

// Offer takes documents from a peer or the store and adopts those with a higher
// revision than the held one. It returns the number adopted.
func (c *Cache) Offer(docs []Doc) int { return c.adopt(docs) }

// OfferAll is Offer for all documents that a ready peer holds, none included. It
// makes the cache ready while the store does not answer.
func (c *Cache) OfferAll(docs []Doc) int {
	adopted := c.adopt(docs)
	c.sync.Store(true)
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
		c.view.Store(newContents(c.held))
		c.notify()
	}
	return adopted
}

func (c *Cache) adoptOne(d Doc) bool {
	if d.Revision != 0 && d.Revision <= c.held[d.Name].doc.Revision {
		return false // spares the parsing; the check below is the one that counts
	}
	h, err := parse(d)
	if err != nil {
		// The held revision stays in force and stays the one that is reported.
		c.opts.Log.WithError(err).WithField("document", d.Name).Error("config: document not usable")
		return false
	}
	if h.doc.Revision <= c.held[d.Name].doc.Revision {
		return false
	}
	c.held[d.Name] = h
	c.record(h.doc)
	return true
}

func (c *Cache) record(d Doc) {
	c.opts.Log.WithField("document", d.Name).WithField("revision", d.Revision).Info("config: revision in force")
	if c.opts.Timeline != nil {
		c.opts.Timeline.Record(timeline.Event{
			Part: "config", Name: "in-force", Detail: fmt.Sprintf("%s revision %d", d.Name, d.Revision),
		})
	}
}

// parse checks a document of the store or of a peer. The revision counts that
// the JSON holds.
func parse(d Doc) (held, error) {
	if !ValidName(d.Name) {
		return held{}, oops.In("configstore").Errorf("%q names no document", d.Name)
	}
	document, err := decodeDocument(d.JSON)
	if err != nil {
		return held{}, err
	}
	h := held{doc: Doc{Name: d.Name, Revision: document.Revision, JSON: d.JSON}, document: document}
	workspace, ok := workspaceOf(d.Name)
	if !ok {
		return h, nil
	}
	h.templates, err = template.Parse(workspace+".toml", []byte(document.Source))
	if err != nil {
		return held{}, err
	}
	if h.templates.Workspace != workspace {
		return held{}, oops.In("configstore").Errorf("document is for workspace %q", h.templates.Workspace)
	}
	return h, nil
}

func (c *Cache) notify() {
	for _, s := range c.subs {
		select {
		case s <- struct{}{}:
		default: // a notice is pending already
		}
	}
}

// Subscribe returns a channel that receives after changes. Several changes may
// give one notice.
func (c *Cache) Subscribe() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := make(chan struct{}, 1)
	c.subs = append(c.subs, s)
	return s
}

// Ready reports whether the cache once held all documents of the store or of a
// ready peer. Before that, a missing template may exist.
func (c *Cache) Ready() bool { return c.sync.Load() }

// Revisions returns the revision in force here of each document.
func (c *Cache) Revisions() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint64, len(c.held))
	for name, h := range c.held {
		out[name] = h.doc.Revision
	}
	return out
}

// Docs returns the named documents, or all without names. Unknown names are left out.
func (c *Cache) Docs(names ...string) []Doc {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(names) == 0 {
		for name := range c.held {
			names = append(names, name)
		}
		slices.Sort(names)
	}
	var out []Doc
	for _, name := range names {
		if h, ok := c.held[name]; ok {
			out = append(out, h.doc)
		}
	}
	return out
}

// Document returns the document in force here.
func (c *Cache) Document(name string) (Document, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.held[name]
	return h.document, ok
}

// Template returns the template in force.
func (c *Cache) Template(id model.TemplateID) (model.Template, bool) {
	t, ok := c.view.Load().byID[id]
	return t, ok
}

// Templates returns all templates, ordered by workspace and name. The slice must
// not be changed.
func (c *Cache) Templates() []model.Template { return c.view.Load().templates }

// Workspaces returns the names of the workspaces in order. The slice must not be
// changed.
func (c *Cache) Workspaces() []string { return c.view.Load().workspaces }

// Drained reports whether an operator drains the VM.
func (c *Cache) Drained(vm string) bool {
	_, ok := c.view.Load().drained[vm]
	return ok
}

// Drains returns the drains by VM. The map must not be changed.
func (c *Cache) Drains() map[string]Drain { return c.view.Load().drained }

// Paused reports whether an operator paused the template.
func (c *Cache) Paused(id model.TemplateID) bool {
	_, ok := c.view.Load().paused[id]
	return ok
}
