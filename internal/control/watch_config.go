package control

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/ctxtime"
)

// watchConfig keeps the configuration of routes and queues up to date.
func (n *Node) watchConfig(ctx context.Context) {
	key := n.dep.Directory.ConfigKey()
	for ctx.Err() == nil {
		rev, err := n.readConfig(ctx, key)
		if err != nil {
			ctxtime.Sleep(ctx, storeRetry)
			continue
		}
		n.watchConfigChanges(ctx, key, rev)
	}
}

// readConfig reads the configuration and returns the revision to watch from. That is the revision of the store and not of
// the key, because the history since the key's last change may have been compacted.
func (n *Node) readConfig(ctx context.Context, key string) (int64, error) {
	begun := n.clock.Now()
	items, rev, err := n.readRange(ctx, key)
	if err != nil {
		return 0, err
	}
	for _, item := range items {
		if item.Key == key {
			n.learnStoredConfig(item.Value, begun)
		}
	}
	return rev, nil
}

// watchConfigChanges applies changes until a watch call fails or a peer reports a version that the watch has missed.
func (n *Node) watchConfigChanges(ctx context.Context, key string, rev int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-n.rereadConfig:
			cancel()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		changes, next, err := n.watch(ctx, key, rev, watchWait)
		if err != nil {
			ctxtime.Sleep(ctx, storeRetry)
			return
		}
		rev = next
		for _, item := range changes {
			if item.Key == key && !item.Deleted {
				n.learnConfig(item.Value, fromWatch)
			}
		}
	}
}

// learnStoredConfig applies the configuration that a read of the store, begun at the given time, has returned.
func (n *Node) learnStoredConfig(value []byte, begun time.Duration) {
	current, since := n.config.load(), time.Duration(0)
	if current != nil {
		_, since = n.config.origin()
	}
	stored := n.learnConfig(value, fromRead)
	if current != nil && stored != nil && stored.Version < current.Version && begun > since {
		n.reportBadConfig(value, fromRead, oops.Errorf("the store holds version %d, older than version %d in force", stored.Version, current.Version))
	}
	n.config.confirm(begun)
}

// reportBadConfig logs why a configuration is not applied, once for each.
func (n *Node) reportBadConfig(value []byte, source configSource, reason error) {
	if n.config.recordBad(value) {
		n.dep.Log.Log("bad-config", logrus.Fields{"from": source.from, "by": source.by, "error": reason.Error()})
	}
}

// learnConfig applies a configuration if it is newer than the one in force, and returns it decoded. One that can't be
// decoded (nil) changes nothing: the last one that could be stays in force, so that a faulty change doesn't turn all callers
// away.
func (n *Node) learnConfig(value []byte, source configSource) *CellConfig {
	if current := n.config.load(); current != nil && bytes.Equal(current.Raw, value) {
		n.dep.Metrics.configDecoded(true)
		return current
	}
	c, err := n.dep.Directory.DecodeConfig(value)
	n.dep.Metrics.configDecoded(err == nil)
	if err != nil {
		n.reportBadConfig(value, source, err)
		return nil
	}
	change, newer := n.config.replace(c, source, n.clock.Now())
	if !newer {
		if current := n.config.load(); current.Version == c.Version && !bytes.Equal(current.Raw, c.Raw) {
			n.reportBadConfig(value, source, oops.Errorf("it differs from the version %d in force", c.Version))
		}
		return c
	}
	n.dep.Log.Log("config-in-force", configFields(c, source, change))
	n.dep.Metrics.configChanged(c.Version, source, change)
	if change.unconfirmed > n.opt.ConfigApply {
		n.dep.Log.Log("config-late", logrus.Fields{
			"version": c.Version, "previous": change.previous, "unconfirmed_ms": change.unconfirmed.Milliseconds(),
		})
	}
	if o := n.ownership.Load(); o != nil {
		o.post(o.applyConfig)
	}
	return c
}

// maxLoggedFindings bounds the line of a configuration with many findings; the check command lists all.
const maxLoggedFindings = 10

func configFields(c *CellConfig, source configSource, change configChange) logrus.Fields {
	fields := logrus.Fields{
		"version": c.Version, "routes": len(c.Routes), "from": source.from, "by": source.by, "previous": change.previous,
		"unconfirmed_ms": change.unconfirmed.Milliseconds(),
	}
	if tenants := c.Tenants.Tenants(); len(tenants) > 0 {
		fields["tenants"] = len(tenants)
	}
	if findings := c.Tenants.Findings(); len(findings) > 0 {
		fields["findings"] = fmt.Sprint(findings[:min(len(findings), maxLoggedFindings)])
	}
	return fields
}

// applyConfig passes the configuration in force to the scheduler. It reads the newest one, as the events of two versions
// may be queued in either order.
func (o *ownership) applyConfig() {
	if c := o.n.config.load(); c != nil {
		o.sched.SetQueues(c.queues())
		o.sched.SetTenants(c.Version, c.Tenants.Tenants())
	}
}

// noticeVersion reads the configuration at once if another process has a newer version.
func (n *Node) noticeVersion(version int64) {
	if version > n.configVersion() {
		n.configRead.begin()
	}
}

func (n *Node) requestConfigRead() {
	select {
	case n.rereadConfig <- struct{}{}:
	default:
	}
}

// configVersion returns the version in force; 0 if there is none.
func (n *Node) configVersion() int64 {
	if c := n.config.load(); c != nil {
		return c.Version
	}
	return 0
}

// Config returns the configuration in force; nil if none is known yet.
func (n *Node) Config() *CellConfig { return n.config.load() }

// Ready reports whether this process can serve callers' requests.
func (n *Node) Ready() bool {
	if n.leaving.Load() || n.config.load() == nil {
		return false
	}
	return n.reachesOwner()
}

// reachesOwner reports whether this process is the owner or has had a reply of the owner within readyTimeout.
func (n *Node) reachesOwner() bool {
	return n.ownership.Load() != nil || n.clock.Now()-n.view.ownerRepliedAt() < readyTimeout
}

// ownerlessSeconds returns for how long this process has known of no owner that had loaded the durable state.
func (n *Node) ownerlessSeconds() float64 {
	if o := n.ownership.Load(); o != nil && o.progress.done.Load() {
		return 0
	}
	return (n.clock.Now() - max(n.view.loadedOwnerSeenAt(), n.createdAt)).Seconds()
}

// readyTimeout is how long a process without contact to the owner still accepts requests. It is longer than a usual
// takeover.
const readyTimeout = 3 * time.Second
