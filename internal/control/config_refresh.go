package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/agateyard/agateyard/internal/ctxtime"
)

const (
	// configReadInterval limits the reads of the configuration that unknown keys cause to 5 a second for each process, as
	// anyone can send unknown keys.
	configReadInterval = 200 * time.Millisecond
	// peersAskInterval limits how often peers are asked for the configuration, as each call makes a peer read the store.
	peersAskInterval = 500 * time.Millisecond
	// peersAskedAfter is how long a read of the configuration may take before peers are asked as well. A store that works
	// answers earlier, except when it is slow.
	peersAskedAfter = 250 * time.Millisecond
	// maxAskedMembers bounds the members that are asked if the owner can't confirm its configuration.
	maxAskedMembers = 3
	// unwatchedAge is the age of the configuration beyond which it is read again. The watch confirms it earlier while the
	// store answers within 50 ms.
	unwatchedAge = 1500 * time.Millisecond
	// freshConfigTimeout bounds the read that a peer's ping requests. It leaves time for the reply within
	// pingTimeout.
	freshConfigTimeout = 250 * time.Millisecond
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
		n.learnConfig(item.Value, fromRead)
	}
	n.config.confirm(begun)
}

// askPeersForConfig pings the owner, which reads the store before it replies, and other members if the owner doesn't
// confirm its configuration.
func (n *Node) askPeersForConfig() {
	begun := n.clock.Now()
	o, _ := n.view.currentOwner()
	if o.Address != "" && o.Address != n.opt.Address {
		n.askForConfig(o.Address)
	}
	if n.config.confirmedWithin(unknownKeyAge, begun) {
		return
	}
	members := n.view.memberList()
	rand.Shuffle(len(members), func(i, k int) { members[i], members[k] = members[k], members[i] })
	var wg sync.WaitGroup
	asked := 0
	for _, m := range members {
		if asked < maxAskedMembers && m.Address != n.opt.Address && m.Address != o.Address {
			asked++
			wg.Go(func() { n.askForConfig(m.Address) })
		}
	}
	wg.Wait()
}

// askForConfig pings a process, which reads the store before it replies.
func (n *Node) askForConfig(address string) {
	args := n.pingArgs()
	args.FreshConfig = true
	if reply, err := n.sendPing(context.Background(), address, args, pingTimeout); err == nil {
		n.applyPingReply(reply)
	}
}

// refreshConfig reads the configuration from the store and, if that fails or takes long, asks peers. It returns when the
// configuration has been confirmed since the given time, when both have ended, or when ctx is done.
func (n *Node) refreshConfig(ctx context.Context, since time.Duration) {
	read := n.configRead.begin()
	select {
	case <-read:
	case <-time.After(peersAskedAfter):
	case <-ctx.Done():
		return
	}
	if n.config.confirmedWithin(0, since) {
		return
	}
	asked := n.peersConfig.begin()
	for read != nil || asked != nil {
		tolerance := time.Duration(0)
		select {
		case <-read:
			read = nil
		case <-asked:
			asked, tolerance = nil, unknownKeyAge
		case <-ctx.Done():
			return
		}
		if n.config.confirmedWithin(tolerance, since) {
			return
		}
	}
}

// keepConfirmed reads the configuration again when its watch has not confirmed it for a while. So a process that the store
// doesn't answer learns of withdrawn keys from its peers, and callers rarely wait for a read.
func (n *Node) keepConfirmed(ctx context.Context) {
	for ctx.Err() == nil {
		ctxtime.Sleep(ctx, storeRetry)
		c, now := n.config.load(), n.clock.Now()
		if c == nil || !c.requiresKeys(n.opt.KeysRequired) || n.config.confirmedWithin(unwatchedAge, now) {
			continue
		}
		n.refreshConfig(ctx, now)
		n.recordRecheck()
	}
}

// recordRecheck records that a configuration could not be confirmed in time.
func (n *Node) recordRecheck() {
	if now := n.clock.Now(); !n.config.confirmedWithin(knownKeyAge, now) {
		n.recheckFailedAt.Store(int64(now))
	}
}

// refreshForPeer reads the configuration from the store on behalf of a peer that can't.
func (n *Node) refreshForPeer() {
	select {
	case <-n.configRead.begin():
	case <-time.After(freshConfigTimeout):
	}
}
