package control

import "time"

// configAgeSeconds returns the age of the configuration for the metric: the time since its last confirmation or, before
// the first one, since the start of this process.
func (n *Node) configAgeSeconds() float64 {
	now := n.clock.Now()
	age, known := n.config.age(now)
	if !known {
		age = now - n.createdAt
	}
	return age.Seconds()
}

// configOverdue reports whether the configuration has not been confirmed for so long that requests wait for it. An owner in
// that state is replaced: the others would follow it with its old configuration.
func (n *Node) configOverdue(now time.Duration) bool {
	age, known := n.config.age(now)
	return known && age > n.limits.serve
}

// confirmByPeer records that a peer has confirmed its configuration. The peer computed the age after the ping was sent. A
// version that is newer than the peer's is confirmed as well, as it was written after the peer's confirmation.
func (n *Node) confirmByPeer(reply PingReply) {
	if reply.ConfigConfirmed && n.configVersion() >= reply.ConfigVersion {
		n.config.confirm(reply.sentAt - reply.ConfigAge)
	}
}

// learnPeerConfig applies a peer's configuration. A process without a configuration takes one that has keys only together
// with its age, so that a key which was withdrawn before the process started doesn't count as confirmed.
func (n *Node) learnPeerConfig(reply PingReply) {
	if reply.Config == nil {
		return
	}
	if n.config.load() == nil && !reply.ConfigConfirmed {
		c, err := n.dep.Directory.DecodeConfig(reply.Config)
		if err == nil && c.requiresKeys(n.opt.KeysRequired) {
			return
		}
	}
	n.learnConfig(reply.Config, fromPeer(reply.sentTo))
}
