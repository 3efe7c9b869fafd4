package control

import (
	"context"
	"testing"
	"time"
)

// TestLateConfigurationIsLogged guards against a version that comes into force late, a decision by an old configuration and
// a process that stays behind, of which neither the log nor the metrics say anything.
func TestLateConfigurationIsLogged(t *testing.T) {
	log := &recordingLog{}
	deps := testDeps()
	deps.Log = log
	n := newTestNodeWith(deps, newMemoryStore(), "10.0.0.1:1", testWeight)
	now := n.clock.Now()
	n.clock = Clock{now: func() time.Duration { return now }}
	n.learnConfig([]byte{1}, fromRead)
	n.config.confirm(now)
	now += time.Second
	n.learnConfig([]byte{2}, fromWatch)
	if names, ok := log.fieldNames("config-late", 0); ok {
		t.Errorf("a version that was written at most a second ago is late: %s", names)
	}
	n.config.confirm(now)
	now += testConfigApply + time.Second
	n.store.setPartitioned(true)
	n.view.recordOwnerReply(now)
	n.Authenticate(context.Background(), Credentials{Host: "h", Path: "/"}, nil)
	n.learnConfig([]byte{3}, fromPeer("10.0.0.2:1"))
	o := newTestOwnership(n.Node)
	defer o.cancel()
	now += behindAfter
	o.recordPing(PingArgs{From: "behind", Owner: o.info, ConfigVersion: 2}, now)
	o.recordPing(PingArgs{From: "up to date", Owner: o.info, ConfigVersion: 3}, now)
	o.loopTime = now
	o.reportBehind()
	o.reportBehind()
	for event, want := range map[string]string{
		"config-late":    "previous unconfirmed_ms version",
		"stale-decision": "age_ms from host path result version",
		"config-behind":  "address for_ms newest version",
	} {
		if names, _ := log.fieldNames(event, 0); names != want {
			t.Errorf("%s: fields %q, want %q", event, names, want)
		}
		if lines := log.linesOf(event); lines != 1 {
			t.Errorf("%s: %d lines", event, lines)
		}
	}
}
