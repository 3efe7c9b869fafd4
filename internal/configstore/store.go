package configstore

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/ctxtime"
	"github.com/agateyard/agateyard/internal/platform"
)

const (
	// maxHistory is the maximum number of revisions that History returns, including the one in force.
	maxHistory = 20
	// pruneBatch is the maximum number of history keys that one change examines, the oldest first.
	pruneBatch = 8
	// maxDocumentBytes leaves a margin below the store's limit for one value.
	maxDocumentBytes = platform.MaxValueBytes - 64<<10

	// callTimeout limits one call to the store, so that after a call that hangs there
	// is still time to determine its outcome.
	callTimeout = 2 * time.Second

	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
	// retryJitter spreads the retries of several processes after an outage.
	retryJitter = 0.5
)

// ErrTooLarge means that the document would exceed the store's value limit.
var ErrTooLarge = errors.New("document is too large for the store")

// ErrNoDocument means that the document does not exist.
var ErrNoDocument = errors.New("document does not exist")

// Store reads and changes documents in the key-value service.
type Store struct {
	kv    platform.Store // the key-value service
	cache *Cache         // receives the documents that the Store reads and writes; may be nil
	log   *logrus.Entry
}

// NewStore returns a Store. Documents that it reads or writes are offered to the
// cache, unless cache is nil.
func NewStore(kv platform.Store, cache *Cache, log *logrus.Entry) *Store {
	return &Store{kv: kv, cache: cache, log: log}
}

// Apply applies the change once and returns the revision that it created, also if
// an earlier call has applied it. It retries until the outcome is known or the context
// ends. The errors *ConflictError, *InvalidError, settings.Findings and ErrTooLarge
// mean that the change was not applied (see ConflictError.Unsettled); *UncertainError
// means that it may have been; any other error means that this call did not change
// the document.
func (s *Store) Apply(ctx context.Context, c Change) (uint64, error) {
	if err := c.validate(); err != nil {
		return 0, err
	}
	retryDelay := newBackOff()
	uncertain := false
	for {
		revision, err := s.attempt(ctx, c)
		if err == nil || isPermanent(err) {
			return revision, err
		}
		var uncertainWrite *uncertainWriteError
		uncertain = uncertain || errors.As(err, &uncertainWrite)
		s.log.WithError(err).WithField("change", c.ID).Warn("config: change not confirmed yet, retrying")
		if !ctxtime.Sleep(ctx, retryDelay.NextBackOff()) {
			return 0, abortError(c, uncertain, err)
		}
	}
}

// abortError returns the error of a change whose retries ended with the context.
func abortError(c Change, uncertain bool, err error) error {
	if uncertain {
		return &UncertainError{Change: c.ID, Last: err}
	}
	return oops.In("configstore").Wrapf(err, "change was not applied")
}

// uncertainWriteError is the error of a write whose outcome is unknown.
type uncertainWriteError struct{ error }

func (e *uncertainWriteError) Unwrap() error { return e.error }

// attempt makes one attempt to read the document and to write it with the change.
func (s *Store) attempt(ctx context.Context, c Change) (uint64, error) {
	current, version, raw, err := s.read(ctx, c.Name)
	if err != nil {
		return 0, err
	}
	if revision, ok := current.RevisionOf(c.ID); ok {
		s.offerToCache(c.Name, current.Revision, raw)
		return revision, nil
	}
	if current.Revision != c.IfRevision {
		s.offerToCache(c.Name, current.Revision, raw)
		return 0, conflictError(current, c)
	}
	return s.write(ctx, c, current, version, raw)
}

func (s *Store) write(ctx context.Context, c Change, current Document, version uint64, raw []byte) (uint64, error) {
	next := current.next(c)
	value, err := next.encode()
	if err != nil {
		return 0, err
	}
	if len(value) > maxDocumentBytes {
		return 0, ErrTooLarge
	}
	if err := s.archive(ctx, c.Name, current.Revision, raw); err != nil {
		return 0, err
	}
	_, err = s.put(ctx, documentKey(c.Name), value, platform.PutOptions{IfVersion: version})
	if err != nil {
		return 0, writeError(err)
	}
	s.offerToCache(c.Name, next.Revision, value)
	s.prune(ctx, c.Name, next.Revision)
	return next.Revision, nil
}

// writeError distinguishes a write that was not applied from one that may have been.
func writeError(err error) error {
	switch {
	case errors.Is(err, platform.ErrTooLarge):
		return ErrTooLarge
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrThrottled), errors.Is(err, platform.ErrUnavailable):
		return err // after ErrConflict the next attempt reads the document again
	default:
		return &uncertainWriteError{err}
	}
}

func isPermanent(err error) bool {
	var conflict *ConflictError
	var malformed *malformedError
	return errors.As(err, &conflict) || errors.Is(err, ErrTooLarge) || errors.As(err, &malformed)
}

func conflictError(current Document, c Change) error {
	e := &ConflictError{
		Name:       c.Name,
		IfRevision: c.IfRevision,
		InForce:    current.Revision,
		Author:     current.Author,
		At:         current.At,
		Unsettled:  !current.listsChangesSince(c.IfRevision),
	}
	if c.Cell == nil {
		e.Diff = Diff(current.diffText(), c.Source)
	} else {
		e.Diff = Diff(current.diffText(), current.next(c).diffText())
	}
	return e
}

// read returns the document, its version in the store and its raw value. A
// missing document has revision 0 and the version CreateOnly.
func (s *Store) read(ctx context.Context, name string) (Document, uint64, []byte, error) {
	entry, err := s.get(ctx, documentKey(name))
	if errors.Is(err, platform.ErrNotFound) {
		return Document{}, platform.CreateOnly, nil, nil
	}
	if err != nil {
		return Document{}, 0, nil, err
	}
	d, err := decodeDocument(entry.Value)
	if err != nil {
		return Document{}, 0, nil, &malformedError{err}
	}
	return d, entry.Version, entry.Value, nil
}

// malformedError is the error of a stored document that can't be decoded. Reading it again doesn't help.
type malformedError struct{ error }

func (e *malformedError) Unwrap() error { return e.error }

func (s *Store) offerToCache(name string, revision uint64, value []byte) {
	if s.cache != nil && revision > 0 {
		s.cache.Offer([]Doc{{Name: name, Revision: revision, JSON: value}})
	}
}

// archive copies a revision to the history before another one replaces it. The
// content of a revision never changes, so an existing copy is equivalent.
func (s *Store) archive(ctx context.Context, name string, revision uint64, raw []byte) error {
	if revision == 0 {
		return nil
	}
	_, err := s.put(ctx, historyKey(name, revision), raw, platform.PutOptions{IfVersion: platform.CreateOnly})
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// prune deletes at most pruneBatch of the history entries beyond maxHistory. Later
// changes delete the rest.
func (s *Store) prune(ctx context.Context, name string, inForce uint64) {
	if inForce < maxHistory {
		return
	}
	page, err := s.list(ctx, historyKeyPrefix(name), "", pruneBatch)
	if err != nil {
		s.log.WithError(err).Debug("config: history not pruned")
		return
	}
	keep := historyKey(name, inForce-maxHistory+1)
	for _, e := range page.Entries {
		if e.Key >= keep {
			return
		}
		if err := s.remove(ctx, e.Key, e.Version); err != nil {
			s.log.WithError(err).Debug("config: history not pruned")
			return
		}
	}
}

// Get returns the document in force, or ErrNoDocument.
func (s *Store) Get(ctx context.Context, name string) (Document, error) {
	d, _, raw, err := s.read(ctx, name)
	if err != nil {
		return Document{}, oops.In("configstore").Wrapf(err, "read %s", name)
	}
	if d.Revision == 0 {
		return Document{}, ErrNoDocument
	}
	s.offerToCache(name, d.Revision, raw)
	return d, nil
}

// History returns up to 20 revisions of the document, the one in force first.
func (s *Store) History(ctx context.Context, name string) ([]Document, error) {
	current, err := s.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	var entries []platform.Entry // the last ones, as the entries are sorted by revision and deleted late
	after := ""
	for {
		page, err := s.list(ctx, historyKeyPrefix(name), after, maxHistory+pruneBatch)
		if err != nil {
			return nil, oops.In("configstore").Wrapf(err, "list history of %s", name)
		}
		entries = append(entries, page.Entries...)
		entries = entries[max(0, len(entries)-maxHistory):]
		if !page.More || len(page.Entries) == 0 {
			break
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
	out := []Document{current}
	for i := len(entries) - 1; i >= 0 && len(out) < maxHistory; i-- {
		d, err := decodeDocument(entries[i].Value)
		if err != nil {
			return nil, err
		}
		if d.Revision < current.Revision {
			out = append(out, d)
		}
	}
	return out, nil
}

func (s *Store) get(ctx context.Context, key string) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.kv.Get(ctx, key)
}

func (s *Store) list(ctx context.Context, prefix, after string, limit int) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.kv.List(ctx, prefix, after, limit)
}

func (s *Store) put(ctx context.Context, key string, value []byte, opts platform.PutOptions) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.kv.Put(ctx, key, value, opts)
}

func (s *Store) remove(ctx context.Context, key string, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.kv.Delete(ctx, key, version)
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialRetryDelay
	b.MaxInterval = maxRetryDelay
	b.RandomizationFactor = retryJitter
	b.Reset()
	return b
}
