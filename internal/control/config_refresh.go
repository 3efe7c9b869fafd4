package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/agateyard/agateyard/internal/ctxtime"
)

// A process knows of its configuration how old it is at most, whether or not its watch works: a watch that is quiet can't
// be told from one that is dead. Only a read of the store confirms a configuration. The owner reads it often and passes its
// age on with the reply to each ping, so that the others rarely have to read. A process whose configuration is not
// confirmed in time reads it itself and asks other members.
const (
	// configCheckInterval is how often a process checks the age of its configuration.
	configCheckInterval = 100 * time.Millisecond
	// minOwnerReadInterval is the age at which an owner reads a small configuration again.
	minOwnerReadInterval = 300 * time.Millisecond
	// configReadRate bounds what an owner reads of a large configuration, in bytes a second: its link may be narrow.
	configReadRate = 100_000
	// configReadTimeout bounds one read of the configuration, so long that a process short of processor time gets an answer.
	configReadTimeout = 3 * time.Second
	// maxConfigReads bounds the reads in flight. Further ones serve those that ask while the first one takes long.
	maxConfigReads = 3
	// configRetryInterval is the pause between two attempts to confirm the configuration.
	configRetryInterval = 500 * time.Millisecond
	// configReadInterval limits the reads of the configuration that unknown keys and paths cause to 5 a second for each
	// process, as anyone can send them.
	configReadInterval = 200 * time.Millisecond
	// peersAskInterval limits how often peers are asked for the configuration, as each call makes a peer read the store.
	peersAskInterval = 500 * time.Millisecond
	// peersAskedAfter is how long a read of the configuration may take before peers are asked as well. A store that works
	// answers earlier, except when it is slow.
	peersAskedAfter = 250 * time.Millisecond
	// refreshTimeout is how long a request waits for another read of the configuration: for the store, then for the owner
	// and other members.
	refreshTimeout = peersAskedAfter + 2*pingTimeout
	// maxAskedMembers bounds the members that are asked if the owner can't confirm its configuration.
	maxAskedMembers = 3
	// freshConfigTimeout bounds the read that a peer's ping requests. It leaves time for the reply within
	// pingTimeout.
	freshConfigTimeout = 250 * time.Millisecond
)

// readStoreConfig reads the configuration from the store once.
func (n *Node) readStoreConfig() {
	ctx, cancel := context.WithTimeout(context.Background(), configReadTimeout)
	defer cancel()
	begun := n.clock.Now()
	item, found, err := n.dep.Store.Get(ctx, n.dep.Directory.ConfigKey())
	n.recordStoreCall("get", err)
	if err == nil && found {
		n.learnStoredConfig(item.Value, begun)
	}
}

// askPeersForConfig pings the owner, which reads the store before it replies, and other members if the owner doesn't
// confirm its configuration.
func (n *Node) askPeersForConfig() {
	o, _ := n.view.currentOwner()
	if o.Address != "" && o.Address != n.opt.Address && n.askForConfig(o.Address) {
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

// askForConfig pings a process, which reads the store before it replies, and reports whether it has confirmed its
// configuration.
func (n *Node) askForConfig(address string) bool {
	args := n.pingArgs()
	args.FreshConfig = true
	reply, err := n.sendPing(context.Background(), address, args, pingTimeout)
	if err != nil {
		return false
	}
	n.applyPingReply(reply)
	return reply.ConfigConfirmed && reply.ConfigAge <= unknownKeyAge
}

// refreshConfig reads the configuration from the store and, if that fails or takes long, asks peers. It returns when the
// configuration has been confirmed since the given time, when neither has an answer, or when ctx is done. A confirmation by
// a peer that was asked may be unknownKeyAge older, as the peer doesn't know when it was asked.
func (n *Node) refreshConfig(ctx context.Context, since time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	read := n.configRead.begin()
	late := time.NewTimer(peersAskedAfter)
	defer late.Stop()
	var asked <-chan struct{}
	tolerance := time.Duration(0)
	for {
		confirmed := n.config.confirmations()
		if n.config.confirmedWithin(tolerance, since) || read == nil && tolerance > 0 {
			return // confirmed, or both have failed
		}
		askPeers := false
		select {
		case <-confirmed:
		case <-read:
			read = nil
			askPeers = !n.config.confirmedWithin(0, since)
		case <-late.C:
			askPeers = true
		case <-asked:
			asked, tolerance = nil, unknownKeyAge
		case <-ctx.Done():
			return
		}
		if askPeers && asked == nil && tolerance == 0 {
			asked = n.peersConfig.begin()
		}
	}
}

// keepConfirmed reads the configuration again when it has not been confirmed for a while, and asks peers if the store
// doesn't answer. So no process depends on its watch, and callers rarely wait for a read.
func (n *Node) keepConfirmed(ctx context.Context) {
	tried := n.clock.Now() - configRetryInterval
	for ctx.Err() == nil {
		ctxtime.Sleep(ctx, configCheckInterval)
		now := n.clock.Now()
		limit, pause := n.limits.reread, configRetryInterval
		if n.ownership.Load() != nil {
			limit = n.ownerReadInterval()
			pause = limit
		}
		if n.config.load() == nil || n.config.confirmedWithin(limit, now) || now-tried < pause {
			continue
		}
		tried = now
		n.goProtected("confirmation of the configuration", func() {
			n.refreshConfig(ctx, now)
			n.recordRecheck()
		})
	}
}

// ownerReadInterval returns the age at which an owner reads the configuration again. Together with the pause between pings it
// stays below the age at which the others read it too.
func (n *Node) ownerReadInterval() time.Duration {
	size := 0
	if c := n.config.load(); c != nil {
		size = len(c.Raw)
	}
	interval := time.Duration(size) * time.Second / configReadRate
	return min(max(interval, minOwnerReadInterval), max(n.limits.reread/2, minOwnerReadInterval))
}

// recordRecheck records that a configuration could not be confirmed in time.
func (n *Node) recordRecheck() {
	if now := n.clock.Now(); !n.config.confirmedWithin(n.limits.serve, now) {
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
