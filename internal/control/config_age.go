package control

import (
	"sync"
	"time"
)

// configConfirmation tracks when the configuration in force was last confirmed as the newest: no newer version had been
// written before that time. It is safe for concurrent use.
type configConfirmation struct {
	mu        sync.Mutex
	at        time.Duration
	confirmed bool
}

// confirm records a confirmation. Earlier ones that arrive late change nothing.
func (c *configConfirmation) confirm(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.confirmed || at > c.at {
		c.at, c.confirmed = at, true
	}
}

// age returns the time since the last confirmation; known is false if there was none.
func (c *configConfirmation) age(now time.Duration) (age time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, now-c.at), c.confirmed
}

// confirmedWithin reports whether the last confirmation is at most d older than now.
func (c *configConfirmation) confirmedWithin(d, now time.Duration) bool {
	age, known := c.age(now)
	return known && age <= d
}

// configAgeSeconds returns the age of the configuration for the metric: the time since its last confirmation or, before
// the first one, since the start of this process.
func (n *Node) configAgeSeconds() float64 {
	now := n.clock.Now()
	age, known := n.confirmation.age(now)
	if !known {
		age = now - n.createdAt
	}
	return age.Seconds()
}

// confirmByPeer records that a peer has confirmed its configuration. The peer computed the age after the ping was sent. A
// version that is newer than the peer's is confirmed as well, as it was written after the peer's confirmation.
func (n *Node) confirmByPeer(reply PingReply) {
	if reply.ConfigConfirmed && n.configVersion() >= reply.ConfigVersion {
		n.confirmation.confirm(reply.sentAt - reply.ConfigAge)
	}
}

// learnPeerConfig applies a peer's configuration. A process without a configuration takes one that has keys only together
// with its age, so that a key which was withdrawn before the process started doesn't count as confirmed.
func (n *Node) learnPeerConfig(reply PingReply) {
	if reply.Config == nil {
		return
	}
	if n.view.currentConfig() == nil && !reply.ConfigConfirmed {
		c, err := n.dep.Directory.DecodeConfig(reply.Config)
		if err == nil && c.requiresKeys(n.opt.KeysRequired) {
			return
		}
	}
	n.learnConfig(reply.Config, "peer")
}
