package control

import (
	"context"
	"time"
)

const (
	// windowBytes is what a connection has in flight at most: the receive window of a socket.
	windowBytes = 64 << 10
	// itemOverhead is the size of an item in an answer of the store beside its key and value, which is encoded in base64.
	itemOverhead = 80
	// messageOverhead is the size of the headers of a message.
	messageOverhead = 200
)

// narrowLink is the receiving side of a VM's link. Everything that arrives at the VM waits for what came before it.
type narrowLink struct {
	bottleneck
	bandwidth float64 // bytes a second
}

// receive waits until a message of the given size has arrived, at most windowBytes of which are on their way at a time.
func (l *narrowLink) receive(ctx context.Context, bytes int) error {
	for bytes > 0 {
		part := min(bytes, windowBytes)
		bytes -= part
		if err := l.pass(ctx, l.cost(part)); err != nil {
			return err
		}
	}
	return nil
}

func (l *narrowLink) cost(bytes int) time.Duration {
	return time.Duration(float64(bytes) / l.bandwidth * float64(time.Second))
}

// reserve returns when a message that is sent now has arrived.
func (l *narrowLink) reserve(bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(l.cost(bytes))
	return l.free
}

// narrowStore is a process's access to a store over a narrow link.
type narrowStore struct {
	Store
	link *narrowLink
}

func itemBytes(items []Item) int {
	size := messageOverhead
	for _, item := range items {
		size += itemOverhead + len(item.Key) + (len(item.Value)+2)/3*4
	}
	return size
}

func (s narrowStore) Get(ctx context.Context, key string) (Item, bool, error) {
	item, found, err := s.Store.Get(ctx, key)
	if late := s.link.receive(ctx, itemBytes([]Item{item})); late != nil {
		return Item{}, false, late
	}
	return item, found, err
}

func (s narrowStore) Range(ctx context.Context, prefix, after string) (Page, error) {
	page, err := s.Store.Range(ctx, prefix, after)
	if late := s.link.receive(ctx, itemBytes(page.Items)); late != nil {
		return Page{}, late
	}
	return page, err
}

func (s narrowStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error) {
	changes, rev, err := s.Store.Watch(ctx, prefix, after, wait)
	if late := s.link.receive(ctx, itemBytes(changes)); late != nil {
		return nil, 0, late
	}
	return changes, rev, err
}

func (s narrowStore) Commit(ctx context.Context, c Commit) (int64, error) {
	rev, err := s.Store.Commit(ctx, c)
	if late := s.link.receive(ctx, messageOverhead); late != nil {
		return 0, late
	}
	return rev, err
}

func (s narrowStore) KeepLease(ctx context.Context, lease int64) error {
	err := s.Store.KeepLease(ctx, lease)
	if late := s.link.receive(ctx, messageOverhead); late != nil {
		return late
	}
	return err
}
