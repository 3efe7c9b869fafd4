package membership

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/platform"
)

// pageLimit is the number of entries of one page of a listing.
const pageLimit = 1000

// errRelist asks for a new listing.
var errRelist = errors.New("content must be listed anew")

// runWatch lists the prefix and then follows it with one pending watch.
func (m *Manager) runWatch(ctx context.Context) error {
	retry := platform.NewBackOff(firstRetry, maxRetry)
	for {
		err := m.follow(ctx, retry.Reset)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, errRelist) {
			continue
		}
		logrus.Warnf("membership: watch failed: %v", err)
		if err = platform.Sleep(ctx, retry.NextBackOff()); err != nil {
			return err
		}
	}
}

// follow lists the content and watches it until a call fails or the history is gone.
// A failed watch leads to a new listing: where the store stalls watches, the listings
// still bring the changes.
func (m *Manager) follow(ctx context.Context, succeeded func()) error {
	listing, err := m.list(ctx)
	if err != nil {
		return err
	}
	if err = m.deliver(ctx, listing); err != nil {
		return err
	}
	revision := listing.revision
	for {
		changes, err := m.watch(ctx, revision)
		if err != nil {
			return err
		}
		if changes.Reset {
			return errRelist
		}
		succeeded()
		revision = changes.Revision
		if err = m.deliver(ctx, batch{entries: changes.Entries, revision: revision}); err != nil {
			return err
		}
	}
}

// watch performs one call, which a request for a new listing cuts short.
func (m *Manager) watch(ctx context.Context, revision uint64) (platform.Changes, error) {
	// The store may never answer a watch, whatever limits its client has.
	ctx, stop := context.WithTimeout(ctx, m.cfg.WatchWait+platform.DefaultWatchGrace)
	defer stop()
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-m.relist:
			cancel(errRelist)
		case <-done:
		}
	}()
	changes, err := m.cfg.Store.Watch(callCtx, clusterPrefix, revision, m.cfg.WatchWait)
	if context.Cause(callCtx) == errRelist {
		return changes, errRelist
	}
	return changes, err
}

// list reads all pages. The watch continues from the revision of the first page.
func (m *Manager) list(ctx context.Context) (batch, error) {
	b := batch{listing: true}
	after := ""
	for {
		page, err := m.cfg.Store.List(ctx, clusterPrefix, after, pageLimit)
		if err != nil {
			return batch{}, err
		}
		if b.revision == 0 {
			b.revision = page.Revision
		}
		b.actAfter = page.Revision
		b.entries = append(b.entries, page.Entries...)
		if !page.More {
			return b, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}

func (m *Manager) deliver(ctx context.Context, b batch) error {
	select {
	case m.batches <- b:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
