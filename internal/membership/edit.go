package membership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/google/uuid"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform"
)

// Leave removes this process from the members of the view, before it hands over
// ownership. The lease is renewed until Release, and the view lists the process as
// leaving: if it dies meanwhile, it becomes a predecessor. Leave retries until it
// succeeds, ctx ends or the process was replaced. If it returns ErrNotJoined, there is
// nothing to leave and the caller ends Run.
func (m *Manager) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	if err := m.retry(ctx, m.markLeaving); err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	replaced := false
	err := m.editView(ctx, func(v *model.View) bool {
		replaced = slices.Contains(v.Predecessors, m.cfg.Self.Incarnation)
		return !replaced && moveToLeaving(v, m.cfg.Self.Incarnation)
	})
	if err == nil && replaced {
		err = ErrReplaced
	}
	if err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	return nil
}

// moveToLeaving moves the incarnation from Members to Leaving and reports whether the
// view changed. An incarnation that is not a member yet is added to Leaving too:
// another process may be writing a view that adds it as a member, and that write then
// conflicts with this one.
func moveToLeaving(v *model.View, incarnation string) bool {
	if slices.Contains(v.Leaving, incarnation) {
		return false
	}
	v.Members = slices.DeleteFunc(v.Members, func(o model.Member) bool { return o.Incarnation == incarnation })
	v.Leaving = append(v.Leaving, incarnation)
	return true
}

// markLeaving marks the member key as leaving, so that no process adds this one to a
// view again.
func (m *Manager) markLeaving(ctx context.Context) error {
	m.mu.Lock()
	lease, version := m.lease, m.memberVersion
	m.mu.Unlock()
	if lease == "" {
		return ErrNotJoined
	}
	r := memberRecord{Member: m.cfg.Self, Leaving: true, Change: uuid.NewString()}
	written, err := platform.PutWithReadBack(ctx, m.cfg.Store, memberPrefix+m.cfg.Self.Incarnation, encode(r),
		platform.PutOptions{IfVersion: version, Lease: lease}, r.Change, memberChange)
	switch {
	case errors.Is(err, platform.ErrLeaseGone):
		return ErrReplaced
	case errors.Is(err, platform.ErrConflict):
		return m.rereadMember(ctx)
	case err != nil:
		return err
	}
	m.setMemberVersion(written)
	return nil
}

// rereadMember reads the version of this process's member key after a conflict. Only
// this process writes the key: if it is missing, it was deleted with the lease; if its
// version is new, it was written by an earlier Leave that ended before the outcome of
// its write was known.
func (m *Manager) rereadMember(ctx context.Context) error {
	e, err := m.cfg.Store.Get(ctx, memberPrefix+m.cfg.Self.Incarnation)
	if errors.Is(err, platform.ErrNotFound) {
		return ErrReplaced
	}
	if err != nil {
		return err
	}
	m.setMemberVersion(e.Version)
	return errStaleVersion
}

func (m *Manager) setMemberVersion(version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.memberVersion = version
}

// errStaleVersion makes retry repeat the write with the version just read.
var errStaleVersion = errors.New("version of the member key was stale")

// Release ends the membership after the handover: it removes the process from the
// view, revokes the lease and makes Run return nil. It is called after Leave.
func (m *Manager) Release(ctx context.Context) error {
	self := m.cfg.Self.Incarnation
	err := m.editView(ctx, func(v *model.View) bool {
		i := slices.Index(v.Leaving, self)
		if i < 0 {
			return false
		}
		v.Leaving = slices.Delete(v.Leaving, i, i+1)
		return true
	})
	if err != nil {
		return fmt.Errorf("release: %w", err)
	}
	m.mu.Lock()
	lease, first := m.lease, !m.releasing
	m.releasing = true
	m.mu.Unlock()
	if lease != "" {
		err = m.retry(ctx, func(ctx context.Context) error { return m.cfg.Store.Revoke(ctx, lease) })
	}
	if first {
		close(m.released)
	}
	return err
}

// DropPredecessor removes a dead incarnation from the view, after all successors have
// adopted its journal. Dropping an incarnation that is not in the view is not an error.
func (m *Manager) DropPredecessor(ctx context.Context, incarnation string) error {
	return m.editView(ctx, func(v *model.View) bool {
		i := slices.Index(v.Predecessors, incarnation)
		if i < 0 {
			return false
		}
		v.Predecessors = slices.Delete(v.Predecessors, i, i+1)
		return true
	})
}

// editView applies edit to the current view and writes the result as the next view;
// edit returns false if there is nothing to change. It retries as described at retry,
// also after a conflict with another writer.
func (m *Manager) editView(ctx context.Context, edit func(*model.View) bool) error {
	return m.retry(ctx, func(ctx context.Context) error {
		e, err := m.cfg.Store.Get(ctx, viewKey)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		var v model.View // empty if there is no view yet
		if err == nil {
			if err = json.Unmarshal(e.Value, &v); err != nil {
				return fmt.Errorf("%w: value of %s: %w", errMalformed, viewKey, err)
			}
		}
		if !edit(&v) {
			return nil
		}
		v.Number++
		v.Change = uuid.NewString()
		normalize(&v)
		return m.writeView(ctx, v, e.Version)
	})
}

// errMalformed is the error of a value that can't be decoded. Reading it again doesn't help.
var errMalformed = errors.New("malformed value in the store")

// retry calls op with increasing delays until it succeeds, returns ErrReplaced,
// ErrNotJoined or errMalformed, or ctx ends.
func (m *Manager) retry(ctx context.Context, op func(context.Context) error) error {
	retryDelay := platform.NewBackOff(initialRetryDelay/4, maxRetryDelay)
	for {
		err := op(ctx)
		if err == nil || errors.Is(err, ErrReplaced) || errors.Is(err, ErrNotJoined) || errors.Is(err, errMalformed) {
			return err
		}
		if platform.Sleep(ctx, retryDelay.NextBackOff()) != nil {
			return err
		}
	}
}
