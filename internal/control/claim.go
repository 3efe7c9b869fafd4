package control

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/sirupsen/logrus"
)

var verdictNames = map[ownerVerdict]string{
	ownerSilent: "owner silent", ownerReplaced: "no owner", ownerNoStore: "owner without store",
}

// claim writes a claim of ownership for the next term to the store. At most one of several candidates succeeds.
func (n *Node) claim(ctx context.Context, before OwnerInfo, verdict ownerVerdict) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	item, found, err := n.dep.Store.Get(ctx, ownerKey)
	n.recordStoreCall("get", err)
	if err != nil {
		return
	}
	if found {
		n.applyOwnerItem(item)
	}
	current, _ := n.view.currentOwner()
	if current.Term != before.Term || current.Incarnation != before.Incarnation {
		return
	}
	next := OwnerInfo{Term: current.Term + 1, Incarnation: n.incarnation, Address: n.opt.Address}
	value, err := json.Marshal(next)
	if err != nil {
		return // can't happen: every field of the type can be encoded
	}
	rev, err := n.dep.Store.Commit(ctx, Commit{
		Expected: map[string]int64{ownerKey: item.Rev},
		Puts:     []Put{{Key: ownerKey, Value: value}},
	})
	var conflict *Conflict
	if errors.As(err, &conflict) {
		n.recordStoreCall("commit", nil)
		for _, current := range conflict.Current {
			if current.Key == ownerKey && current.Rev > 0 {
				n.applyOwnerItem(current)
			}
		}
		return
	}
	n.recordStoreCall("commit", err)
	if err != nil {
		return // if the commit was applied after all, the watch reports it
	}
	next.Rev = rev
	n.dep.Log.Log("claimed", logrus.Fields{"term": next.Term, "rev": rev, "reason": verdictNames[verdict]})
	n.view.setOwner(next, n.clock.Now())
	n.becomeOwner(next)
	n.announce(before.Address)
}

// announce pings the members and the previous owner, so that they learn of the new claim. Those that can't reach the
// store would otherwise learn of it only from later pings between the processes.
func (n *Node) announce(before string) {
	addresses := map[string]bool{before: true}
	for _, m := range n.view.memberList() {
		addresses[m.Address] = true
	}
	delete(addresses, n.opt.Address)
	delete(addresses, "")
	for address := range addresses {
		n.goProtected("announcement", func() {
			_, err := n.ping(context.Background(), address, pingTimeout)
			if err != nil {
				n.dep.Log.Log("not-announced", logrus.Fields{"to": address, "error": err.Error()})
			}
		})
	}
}
