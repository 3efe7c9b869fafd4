package standin

import (
	"bytes"
	"context"
	"strings"

	"github.com/agateyard/agateyard/internal/platform"
)

// Get implements platform.Store.
func (s *Server) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := s.admit(ctx, platform.CallGet); err != nil {
		return platform.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys.Get(platform.Entry{Key: key})
	if !ok {
		return platform.Entry{}, platform.ErrNotFound
	}
	return e, nil
}

// List implements platform.Store. A page ends early if its values would exceed pageBytes.
func (s *Server) List(ctx context.Context, prefix, after string, limit int) (platform.Page, error) {
	if err := s.admit(ctx, platform.CallList); err != nil {
		return platform.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := platform.Page{Revision: s.revision}
	size := 0
	s.keys.AscendGreaterOrEqual(platform.Entry{Key: max(prefix, after)}, func(e platform.Entry) bool {
		if !strings.HasPrefix(e.Key, prefix) {
			return e.Key < prefix
		}
		if e.Key <= after {
			return true
		}
		size += len(e.Value)
		if len(page.Entries) >= limit || (size > pageBytes && len(page.Entries) > 0) {
			page.More = true
			return false
		}
		page.Entries = append(page.Entries, e)
		return true
	})
	return page, nil
}

// Put implements platform.Store.
func (s *Server) Put(ctx context.Context, key string, value []byte, opts platform.PutOptions) (uint64, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	value = bytes.Clone(value)
	var version uint64
	err := s.write(ctx, platform.CallPut, func() error {
		v, err := s.put(key, value, opts)
		version = v
		return err
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

// put writes a key; the caller holds the lock.
func (s *Server) put(key string, value []byte, opts platform.PutOptions) (uint64, error) {
	old, exists := s.keys.Get(platform.Entry{Key: key})
	if exists != (opts.IfVersion != platform.CreateOnly) || old.Version != opts.IfVersion {
		return 0, platform.ErrConflict
	}
	if opts.Lease != "" && s.leases[opts.Lease] == nil {
		return 0, platform.ErrLeaseGone
	}
	s.detach(key)
	if opts.Lease != "" {
		s.leases[opts.Lease].keys[key] = struct{}{}
	}
	s.revision++
	e := platform.Entry{Key: key, Value: value, Version: s.revision}
	s.keys.ReplaceOrInsert(e)
	s.record(e)
	return e.Version, nil
}

// Delete implements platform.Store.
func (s *Server) Delete(ctx context.Context, key string, ifVersion uint64) error {
	return s.write(ctx, platform.CallDelete, func() error {
		old, exists := s.keys.Get(platform.Entry{Key: key})
		if !exists {
			return nil
		}
		if old.Version != ifVersion {
			return platform.ErrConflict
		}
		s.remove(key)
		return nil
	})
}

// remove deletes a key that exists; the caller holds the lock.
func (s *Server) remove(key string) {
	s.detach(key)
	s.keys.Delete(platform.Entry{Key: key})
	s.revision++
	s.record(platform.Entry{Key: key, Version: s.revision, Deleted: true})
}

// detach removes a key from its lease; the caller holds the lock.
func (s *Server) detach(key string) {
	for _, l := range s.leases {
		delete(l.keys, key)
	}
}

// record adds a change to the history and wakes pending watches; the caller holds the lock.
func (s *Server) record(e platform.Entry) {
	s.history = append(s.history, e)
	if len(s.history) > 2*historyLength {
		cut := len(s.history) - historyLength
		s.trimmed = s.history[cut-1].Version
		s.history = append([]platform.Entry(nil), s.history[cut:]...)
	}
	s.broadcast()
}
