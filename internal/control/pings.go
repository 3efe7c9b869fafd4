package control

import (
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/relay"
)

// receivedPing is the last ping received from a process.
type receivedPing struct {
	at       time.Duration
	since    time.Duration // first ping of the process to this owner
	address  string
	leaving  bool
	config   int64 // version of its configuration; 0 if it has none
	interval time.Duration
	// reportedBehind is the owner's version for which the process was last reported to be behind.
	reportedBehind int64
}

// recent reports whether the process is not overdue with its next ping.
func (p receivedPing) recent(now time.Duration) bool { return now-p.at < pingSilenceLimit(p.interval) }

// recordPing records a ping of a process that knows of this term.
func (o *ownership) recordPing(ping PingArgs, now time.Duration) {
	if ping.Owner.Term != o.info.Term {
		return
	}
	if !o.progress.done.Load() {
		o.progress.pings.Add(1)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	since, reported := now, int64(0)
	if earlier, ok := o.lastPings[ping.From]; ok && earlier.recent(now) {
		since, reported = earlier.since, earlier.reportedBehind
	}
	o.lastPings[ping.From] = receivedPing{
		at: now, since: since, address: ping.Address, leaving: ping.Leaving, config: ping.ConfigVersion,
		interval: min(max(ping.Interval, 0), maxPingInterval), reportedBehind: reported,
	}
}

// isLeaving reports whether the last ping of a process has said that it is about to stop. Its entry in the store doesn't say so.
func (o *ownership) isLeaving(incarnation string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastPings[incarnation].leaving
}

// relayCandidates returns the other processes that have pinged this owner recently.
func (o *ownership) relayCandidates() []relay.Process {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []relay.Process
	for incarnation, ping := range o.lastPings {
		if ping.leaving || !ping.recent(o.loopTime) || ping.address == o.n.opt.Address {
			continue
		}
		if m, ok := o.n.view.memberOf(incarnation); ok {
			out = append(out, relay.Process{Address: ping.address, Zone: m.Zone, Weight: m.Weight})
		}
	}
	return out
}

// adviceMachines returns the sorted addresses of the machines that may call the advice service: this one and those whose
// process has pinged it recently, whether or not the store lists them as members.
func (o *ownership) adviceMachines() []string {
	out := []string{o.n.opt.Address}
	o.mu.Lock()
	for _, ping := range o.lastPings {
		if !ping.leaving && ping.recent(o.loopTime) && ping.address != o.n.opt.Address {
			out = append(out, ping.address)
		}
	}
	o.mu.Unlock()
	sort.Strings(out)
	return out
}

// forgetPingAfter is how long after its last ping a process is remembered, far longer than its silence counts for anything.
// Each restart is another process.
const forgetPingAfter = time.Minute

// behindAfter is the age of a version at the owner from which on a ping with an older one is reported. The reply to a ping
// brings a new version, so even a process that pings rarely has it earlier.
const behindAfter = maxPingInterval + pingTimeout

// reviewPings forgets processes that have been silent for long. It counts those that have pinged with an older configuration
// although the owner's has been in force for behindAfter, and logs each of them once for a version.
func (o *ownership) reviewPings() {
	newest := o.n.config.load()
	if newest == nil {
		return
	}
	_, since := o.n.config.origin()
	count := 0
	o.mu.Lock()
	defer o.mu.Unlock()
	for incarnation, ping := range o.lastPings {
		if o.loopTime-ping.at > forgetPingAfter {
			delete(o.lastPings, incarnation)
			continue
		}
		if ping.config >= newest.Version || ping.at-since < behindAfter || !ping.recent(o.loopTime) {
			continue
		}
		count++
		if ping.reportedBehind == newest.Version {
			continue
		}
		ping.reportedBehind = newest.Version
		o.lastPings[incarnation] = ping
		o.n.dep.Log.Log("config-behind", logrus.Fields{
			"address": ping.address, "version": ping.config, "newest": newest.Version, "for_ms": (ping.at - since).Milliseconds(),
		})
	}
	o.n.dep.Metrics.ConfigBehind.Set(float64(count))
}
