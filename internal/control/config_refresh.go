package control

import (
	"context"
	"time"
)

const (
	// configReadInterval limits the reads of the configuration that unknown keys cause to 5 a second for each process, as
	// anyone can send unknown keys.
	configReadInterval = 200 * time.Millisecond
	// ownerAskedAfter is how long a read of the configuration may take before the owner is asked as well. A store that
	// works answers earlier, except when it is slow.
	ownerAskedAfter = 250 * time.Millisecond
	// freshConfigTimeout bounds the read that a peer's ping requests. It leaves time for the reply within pingTimeout.
	freshConfigTimeout = 350 * time.Millisecond
)

// readStoreConfig reads the configuration from the store once.
func (n *Node) readStoreConfig() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	begun := n.clock.Now()
	item, found, err := n.dep.Store.Get(ctx, n.dep.Directory.ConfigKey())
	n.recordStoreCall("get", err)
	if err != nil {
		return
	}
	if found {
		n.learnConfig(item.Value, "store")
	}
	n.confirmation.confirm(begun)
}

// askOwnerForConfig pings the owner, which reads the store before it replies.
func (n *Node) askOwnerForConfig() {
	o, _ := n.view.currentOwner()
	if n.ownership.Load() != nil || o.Address == "" || o.Address == n.opt.Address {
		return
	}
	args := n.pingArgs()
	args.FreshConfig = true
	if reply, err := n.sendPing(context.Background(), o.Address, args, pingTimeout); err == nil {
		n.applyPingReply(reply)
	}
}

// refreshConfig reads the configuration from the store and, if that fails or takes long, asks the owner. It returns when
// the configuration has been confirmed at the given time or later, when both have ended, or when ctx is done.
func (n *Node) refreshConfig(ctx context.Context, since time.Duration) {
	read := n.configRead.begin()
	select {
	case <-read:
	case <-time.After(ownerAskedAfter):
	case <-ctx.Done():
		return
	}
	confirmed := func() bool { return n.confirmation.confirmedWithin(0, since) }
	if confirmed() {
		return
	}
	asked := n.ownerConfig.begin()
	for (read != nil || asked != nil) && !confirmed() {
		select {
		case <-read:
			read = nil
		case <-asked:
			asked = nil
		case <-ctx.Done():
			return
		}
	}
}

// refreshForPeer reads the configuration from the store on behalf of a peer that can't.
func (n *Node) refreshForPeer() {
	select {
	case <-n.configRead.begin():
	case <-time.After(freshConfigTimeout):
	}
}
