package control

import (
	"context"
	"testing"
	"time"
)

// TestOddVersionsAreLogged guards against a configuration that replaces a newer one or one of the same version, and against one
// that is ignored without a line.
func TestOddVersionsAreLogged(t *testing.T) {
	log := &recordingLog{}
	deps := testDeps()
	deps.Log, deps.Directory = log, routesDirectory{}
	n := newTestNodeWith(deps, newMemoryStore(), "10.0.0.1:1", testWeight)
	n.learnConfig([]byte(`{"Version":5,"Routes":["/a/"]}`), fromRead)
	now := n.clock.Now()
	for i, odd := range []string{`{"Version":5,"Routes":["/b/"]}`, `{"Version":4,"Routes":["/c/"]}`, `{"Version":"6"}`, `[`} {
		for range 3 {
			n.learnStoredConfig([]byte(odd), now+time.Second)
		}
		if lines := log.linesOf("bad-config"); lines != i+1 {
			t.Errorf("%s: %d lines in all, want %d", odd, lines, i+1)
		}
		if c := n.Config(); c.Version != 5 || c.Routes[0].Prefix != "/a/" {
			t.Errorf("%s: version %d, routes %+v", odd, c.Version, c.Routes)
		}
	}
	n.learnStoredConfig([]byte(`{"Version":4,"Routes":["/c/"]}`), now-time.Second)
	n.learnStoredConfig([]byte(`{"Version":5,"Routes":["/a/"]}`), now+time.Second)
	if lines := log.linesOf("bad-config"); lines != 4 {
		t.Errorf("a read from before the version in force, or that version, is reported: %d lines", lines)
	}
}

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
	o.reviewPings()
	o.reviewPings()
	o.loopTime += forgetPingAfter + time.Second
	o.reviewPings()
	if len(o.lastPings) > 0 {
		t.Errorf("%d processes are remembered a minute after their last ping", len(o.lastPings))
	}
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
