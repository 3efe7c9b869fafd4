package control

import (
	"context"

	"github.com/agateyard/agateyard/internal/ctxtime"
)

// rangeReader reads the items under a prefix page after page. A page that could not be read is read again, and those before
// it are kept: a reader that begins again may never end.
type rangeReader struct {
	n      *Node
	prefix string
	rev    int64  // of the store, at the first page
	after  string // key at which the next page begins
	done   bool
}

// next reads the next page.
func (r *rangeReader) next(ctx context.Context) ([]Item, error) {
	page, err := r.n.dep.Store.Range(ctx, r.prefix, r.after)
	r.n.recordStoreCall("range", err)
	if err != nil {
		return nil, err
	}
	if r.rev == 0 {
		r.rev = page.Rev
	}
	r.after, r.done = page.Next, page.Next == ""
	return page.Items, nil
}

// maxPageAttempts bounds how often a page after the first is read. The caller decides about the first one.
const maxPageAttempts = 5

// readRange returns all items under a prefix and the revision of the store at which the first page was read.
func (n *Node) readRange(ctx context.Context, prefix string) ([]Item, int64, error) {
	r := &rangeReader{n: n, prefix: prefix}
	var all []Item
	for failures := 0; !r.done; {
		items, err := r.next(ctx)
		if err != nil {
			failures++
			if r.after == "" || failures == maxPageAttempts || ctx.Err() != nil {
				return nil, 0, err
			}
			ctxtime.Sleep(ctx, storeRetry)
			continue
		}
		failures = 0
		all = append(all, items...)
	}
	return all, r.rev, nil
}
