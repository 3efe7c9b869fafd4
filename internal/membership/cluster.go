package membership

import (
	"encoding/json"
	"strings"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform"
)

const (
	// maxViewNumber is the highest number that a view can have; a higher one is malformed.
	maxViewNumber = 1 << 62
	// unreadableViewGap is added to the number of the view that replaces one that can't be decoded.
	// Views that this process has not seen may have been written before that one.
	unreadableViewGap = 1000
)

// cluster is the content of the keys with the prefix "cluster/" that the listing and
// the watch have delivered so far.
type cluster struct {
	versions    map[string]uint64 // store version by key, so that older states are ignored
	members     map[string]memberRecord
	view        model.View
	viewVersion uint64 // platform.CreateOnly if the store has no view
	// viewUnreadable means that the view in the store can't be decoded. The next view replaces it.
	viewUnreadable bool
	revision       uint64
	// consistentFrom is the revision from which members and view are consistent, since
	// the pages of a listing are read at different revisions.
	consistentFrom uint64
}

func newCluster() *cluster {
	return &cluster{versions: map[string]uint64{}, members: map[string]memberRecord{}}
}

// batch is a listing or the changes of one watch.
type batch struct {
	entries        []platform.Entry
	revision       uint64
	fullListing    bool   // the batch replaces the whole content
	consistentFrom uint64 // set for a listing only
}

// apply applies the batch and reports whether anything may have changed.
func (c *cluster) apply(b batch) bool {
	if b.fullListing {
		view := c.view
		*c = *newCluster()
		// The view is kept so that view numbers never decrease, even if the store lost its content.
		c.view = view
		c.consistentFrom = b.consistentFrom
	}
	changed := b.fullListing
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
		delete(c.versions, e.Key) // the watch delivers changes in order, so no older state follows
		return true
	}
	var r memberRecord
	if json.Unmarshal(e.Value, &r) != nil || r.Incarnation != incarnation {
		return false // not written by a member; ignored so that it does not get into a view
	}
	c.members[incarnation] = r
	return true
}

func (c *cluster) applyView(e platform.Entry) bool {
	c.viewUnreadable = false
	if e.Deleted {
		c.viewVersion = platform.CreateOnly
		return true
	}
	var v model.View
	c.viewVersion = e.Version
	if json.Unmarshal(e.Value, &v) != nil || v.Number > maxViewNumber {
		c.viewUnreadable = true
		return true
	}
	if v.Number <= c.view.Number {
		return false
	}
	c.view = v
	return true
}

// next returns the next view for the registered members, or false if the current view
// agrees with them or the content is not consistent yet.
func (c *cluster) next() (model.View, bool) {
	if c.revision < c.consistentFrom {
		return model.View{}, false
	}
	next, differs := nextView(c.view, c.members)
	if !c.viewUnreadable {
		return next, differs
	}
	// A process that knows no view must not replace it: the numbers of views never decrease,
	// and the predecessors are not known.
	next.Number += unreadableViewGap
	return next, c.view.Number > 0
}
