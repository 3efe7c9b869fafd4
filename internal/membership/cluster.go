package membership

import (
	"encoding/json"
	"strings"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform"
)

// cluster is the content of the prefix "cluster/" as far as the watch has read it.
type cluster struct {
	versions    map[string]uint64 // by key; kept for deleted keys, so that an older state can't return
	members     map[string]memberRecord
	view        model.View
	viewVersion uint64 // platform.CreateOnly without a view
	revision    uint64
	// actAfter is the revision from which on members and view are consistent: the
	// pages of a listing are read at different revisions.
	actAfter uint64
}

func newCluster() *cluster {
	return &cluster{versions: map[string]uint64{}, members: map[string]memberRecord{}}
}

// batch is a listing or the changes of one watch.
type batch struct {
	entries  []platform.Entry
	revision uint64
	listing  bool   // replaces the whole content
	actAfter uint64 // of a listing
}

// apply brings the content up to the batch and reports whether anything changed.
func (c *cluster) apply(b batch) bool {
	if b.listing {
		view := c.view
		*c = *newCluster()
		// The view is kept so that views never go back, even if the store lost its content.
		c.view = view
		c.actAfter = b.actAfter
	}
	changed := b.listing
	for _, e := range b.entries {
		changed = c.applyEntry(e) || changed
	}
	c.revision = max(c.revision, b.revision)
	return changed
}

func (c *cluster) applyEntry(e platform.Entry) bool {
	if e.Version <= c.versions[e.Key] {
		return false
	}
	c.versions[e.Key] = e.Version
	if e.Key == viewKey {
		return c.applyView(e)
	}
	incarnation, ok := strings.CutPrefix(e.Key, memberPrefix)
	if !ok {
		return false
	}
	if e.Deleted {
		delete(c.members, incarnation)
		delete(c.versions, e.Key) // the watch is ordered, so no older state follows
		return true
	}
	var r memberRecord
	if json.Unmarshal(e.Value, &r) != nil || r.Incarnation != incarnation {
		return false // not written by a member; ignoring it keeps it out of the view
	}
	c.members[incarnation] = r
	return true
}

func (c *cluster) applyView(e platform.Entry) bool {
	if e.Deleted {
		c.viewVersion = platform.CreateOnly
		return true
	}
	var v model.View
	if json.Unmarshal(e.Value, &v) != nil {
		return false
	}
	c.viewVersion = e.Version
	if v.Number <= c.view.Number {
		return false
	}
	c.view = v
	return true
}

// next returns the view that follows from the members, or false if the present
// one agrees with them or the content is not consistent yet.
func (c *cluster) next() (model.View, bool) {
	if c.revision < c.actAfter {
		return model.View{}, false
	}
	return nextView(c.view, c.members)
}
