package control

import "time"

const (
	// frequentPingers is the number of processes that ping the owner every pingInterval: the best candidates to replace
	// it, so that its loss is noticed as early in a large cell as in a small one.
	frequentPingers = 50
	// maxPingInterval bounds the age of the counts of pending jobs at the other processes.
	maxPingInterval = time.Second
	// missedPings is how many intervals may pass without a ping before a process counts as lost.
	missedPings = 2.5
)

// pingIntervalFor returns how often a process pings the owner. Together the processes beyond the frequent pingers ping as
// often as these, until their interval reaches maxPingInterval.
func pingIntervalFor(betterCandidates, members int) time.Duration {
	if betterCandidates < frequentPingers {
		return pingInterval
	}
	interval := pingInterval * time.Duration(members-frequentPingers) / frequentPingers
	return min(max(interval, pingInterval), maxPingInterval)
}

// ownPingInterval returns how often this process pings the owner.
func (n *Node) ownPingInterval() time.Duration {
	members := n.view.memberList()
	if len(members) <= frequentPingers {
		return pingInterval
	}
	o, _ := n.view.currentOwner()
	self := n.self()
	better := 0
	for _, m := range members {
		if m.Incarnation != self.Incarnation && n.betterOwner(m, self, o.Term) {
			better++
		}
	}
	return pingIntervalFor(better, len(members))
}

// pingSilenceLimit returns how long a process that pings at the given interval may be silent.
func pingSilenceLimit(interval time.Duration) time.Duration {
	return max(ownerSilenceLimit, time.Duration(missedPings*float64(interval)))
}
