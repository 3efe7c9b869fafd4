package control

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/ctxtime"
)

const (
	cellPrefix   = "cell/"
	ownerKey     = cellPrefix + "owner"
	memberPrefix = cellPrefix + "members/"
	runnersKey   = "owned-runners"
	jobPrefix    = "jobs/"
)

const (
	// memberLease is how long a process stays a member after its last renewal. It bounds how long dead processes count in a
	// vote.
	memberLease = 3 * time.Second
	// memberRenewal is the renewal interval. It leaves time for two more attempts within the lease.
	memberRenewal = 900 * time.Millisecond
	// storeTimeout bounds one store call. The slowest store that still works answers in about 300 ms.
	storeTimeout = 800 * time.Millisecond
	// storeRetry is the pause after a failed store call.
	storeRetry = 200 * time.Millisecond
)

// register creates this process's member key and renews its lease until ctx is done.
func (n *Node) register(ctx context.Context) {
	var lease int64
	for ctx.Err() == nil {
		var err error
		if lease == 0 {
			lease, err = n.join(ctx)
		} else {
			err = n.keepLease(ctx, lease)
			if errors.Is(err, ErrNoLease) {
				n.dep.Log.Log("member-lease-lost", logrus.Fields{"lease": lease})
				lease = 0
				continue
			}
		}
		n.peers.closeIdle()
		pause := memberRenewal
		if err != nil {
			pause = storeRetry
		}
		ctxtime.Sleep(ctx, pause)
	}
}

func (n *Node) keepLease(ctx context.Context, lease int64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := n.dep.Store.KeepLease(ctx, lease)
	if !errors.Is(err, ErrNoLease) {
		n.recordStoreCall("keep-lease", err)
	}
	return err
}

func (n *Node) join(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	lease, err := n.dep.Store.GrantLease(ctx, memberLease)
	n.recordStoreCall("grant-lease", err)
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(n.self())
	if err != nil {
		return 0, err
	}
	_, err = n.dep.Store.Commit(ctx, Commit{Puts: []Put{{Key: memberPrefix + n.incarnation, Value: value, Lease: lease}}})
	n.recordStoreCall("commit", err)
	if err != nil {
		return 0, err
	}
	n.dep.Log.Log("joined", logrus.Fields{"incarnation": n.incarnation, "lease": lease})
	return lease, nil
}

func (n *Node) self() Member {
	return Member{
		Incarnation: n.incarnation, Name: n.opt.Name, Address: n.opt.Address, Zone: n.opt.Zone,
		Weight: n.opt.Weight, LinkMbps: n.opt.LinkMbps, MemoryMB: n.opt.MemoryMB, Descriptors: n.opt.DescriptorLimit,
		Leaving: n.leaving.Load(),
	}
}
