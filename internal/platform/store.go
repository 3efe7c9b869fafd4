// Package platform is the client of the platform's services: the key-value
// service and the VM list. It is used by agateyard-entry and its stand-ins. The package
// agateyard/platform, which agateyard-scheduler uses, is a different one, for other services.
package platform

import (
	"context"
	"errors"
	"time"
)

// Errors of the key-value service. After ErrUncertain, and after any error that
// NotApplied does not recognize, the write may have taken effect.
var (
	ErrNotFound    = errors.New("key not found")
	ErrConflict    = errors.New("version conflict")           // the condition of the write did not hold; nothing was written
	ErrLeaseGone   = errors.New("lease has lapsed")           // nothing was written
	ErrTooLarge    = errors.New("value too large")            // nothing was written
	ErrThrottled   = errors.New("rate limit of the store")    // nothing was written
	ErrUnavailable = errors.New("store unavailable")          // nothing was written
	ErrUncertain   = errors.New("outcome of write uncertain") // reply lost or timed out
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease in the store.
type LeaseID string

// Entry is one key of the store.
type Entry struct {
	Key     string
	Value   []byte
	Version uint64 // store revision of the last write to the key; never 0
	Deleted bool   // only in changes
}

// Page is a part of a list, ordered by key.
type Page struct {
	Entries  []Entry
	Revision uint64 // store revision of the list
	More     bool   // there are keys after the last entry
}

// Changes is the reply of a watch.
type Changes struct {
	Entries  []Entry // ordered by version; only the latest state of a key that was written several times
	Revision uint64  // revision from which to continue the watch
	Reset    bool    // the store no longer has the history; the caller must list again
}

// PutOptions are the conditions of a write.
type PutOptions struct {
	// IfVersion is the version that the key must have, or CreateOnly.
	IfVersion uint64
	// Lease binds the key to a lease; empty for none.
	Lease LeaseID
}

// CreateOnly as PutOptions.IfVersion requires that the key does not exist.
const CreateOnly uint64 = 0

// Store is the platform's key-value service. Every write of a key is conditional.
type Store interface {
	// Get returns the key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns up to limit entries with the prefix and a key greater than after.
	List(ctx context.Context, prefix, after string, limit int) (Page, error)
	// Put writes the key and returns its new version, or ErrConflict.
	Put(ctx context.Context, key string, value []byte, opts PutOptions) (uint64, error)
	// Delete removes the key if it has the version, or returns ErrConflict. Deleting a missing key is no error.
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// GrantLease returns a new lease.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease, or returns ErrLeaseGone.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits up to wait for changes with the prefix after the revision.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
}
