package control

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/ctxtime"
	"github.com/agateyard/agateyard/internal/decisionlog"
)

const (
	// watchWait is how long a watch call waits for a change.
	watchWait = 1500 * time.Millisecond
	// watchTimeoutMargin is how much longer than its wait a watch call may take before it times out. The store's client
	// repeats it earlier, so the margin only has to be long enough for a process that is short of processor time.
	watchTimeoutMargin = 1500 * time.Millisecond
)

// watchCell keeps the owner's claim and the members up to date.
func (n *Node) watchCell(ctx context.Context) {
	for ctx.Err() == nil {
		items, rev, err := n.readRange(ctx, cellPrefix)
		if err != nil {
			ctxtime.Sleep(ctx, storeRetry)
			continue
		}
		n.resetCell(items)
		n.watchCellChanges(ctx, rev)
	}
}

func (n *Node) watch(ctx context.Context, prefix string, rev int64, wait time.Duration) ([]Item, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchTimeoutMargin)
	defer cancel()
	changes, next, err := n.dep.Store.Watch(ctx, prefix, rev, wait)
	switch {
	case errors.Is(err, context.Canceled): // canceled by the caller, which says nothing about the store
	case errors.Is(err, ErrCompacted): // the store works
		n.recordStoreCall("watch", nil)
		n.dep.Log.Log("history-lost", logrus.Fields{"prefix": prefix, "after": rev})
	default:
		n.recordStoreCall("watch", err)
	}
	return changes, next, err
}

func (n *Node) watchCellChanges(ctx context.Context, rev int64) {
	for ctx.Err() == nil {
		changes, next, err := n.watch(ctx, cellPrefix, rev, watchWait)
		if err != nil {
			ctxtime.Sleep(ctx, storeRetry)
			return // read everything again, as changes may have been missed
		}
		rev = next
		for _, item := range changes {
			n.applyCellItem(item)
		}
	}
}

// resetCell replaces the view of the cell by a full read. Members that are not in the store are dropped.
func (n *Node) resetCell(items []Item) {
	var members []Member
	owner := false
	for _, item := range items {
		if strings.HasPrefix(item.Key, memberPrefix) {
			if m, ok := n.decodeMember(item); ok {
				members = append(members, m)
			}
			continue
		}
		owner = owner || item.Key == ownerKey
		n.applyCellItem(item)
	}
	n.view.setMembers(members)
	if !owner {
		n.view.setNoOwner()
	}
}

func (n *Node) applyCellItem(item Item) {
	switch {
	case strings.HasPrefix(item.Key, memberPrefix) && item.Deleted:
		n.view.removeMember(strings.TrimPrefix(item.Key, memberPrefix))
	case strings.HasPrefix(item.Key, memberPrefix):
		if m, ok := n.decodeMember(item); ok {
			n.view.setMember(m)
		}
	case item.Key == ownerKey && !item.Deleted:
		n.applyOwnerItem(item)
	}
}

func (n *Node) decodeMember(item Item) (Member, bool) {
	var m Member
	if err := json.Unmarshal(item.Value, &m); err != nil {
		n.dep.Log.Log("bad-member", logrus.Fields{"key": item.Key, "error": err.Error()})
		return Member{}, false
	}
	if memberPrefix+m.Incarnation != item.Key || !m.valid() {
		n.dep.Log.Log("bad-member", logrus.Fields{"key": item.Key, "error": "fields missing or out of range"})
		return Member{}, false
	}
	return m, true
}

// applyOwnerItem applies a claim. One that can't be decoded names no owner, so that it can be replaced. Its term is its
// revision, which is at least as high as any term, since each claim is a commit: run numbers derive from the term, so the
// next term has to be above all earlier ones.
func (n *Node) applyOwnerItem(item Item) {
	var o OwnerInfo
	err := json.Unmarshal(item.Value, &o)
	o.Rev = item.Rev
	if err == nil && o.valid() {
		n.learnOwner(o, "store")
		return
	}
	n.dep.Log.Log("bad-owner", logrus.Fields{"key": item.Key, "error": decisionlog.ErrorText(err)})
	n.setOwner(OwnerInfo{Term: item.Rev, Rev: item.Rev}, "store")
}

// learnOwner updates the known owner, unless the claim is malformed.
func (n *Node) learnOwner(o OwnerInfo, from string) {
	if !o.valid() {
		n.dep.Log.Log("bad-owner", logrus.Fields{"from": from, "term": o.Term})
		return
	}
	n.setOwner(o, from)
}

// setOwner updates the known owner. It ends this process's own ownership if that is of an older term.
func (n *Node) setOwner(o OwnerInfo, from string) {
	if !n.view.setOwner(o, n.clock.Now()) {
		return
	}
	n.dep.Log.Log("owner-changed", logrus.Fields{"term": o.Term, "owner": o.Address, "from": from})
	if local := n.ownership.Load(); local != nil && local.info.Term < o.Term {
		local.stepDown("a newer owner has claimed ownership")
	}
}
