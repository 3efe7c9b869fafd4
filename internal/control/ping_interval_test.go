package control

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// TestPingRateIsBounded guards against an owner that spends its processor on pings (pattern: hundreds of VMs): 297
// processes pinged it 1,485 times a second.
func TestPingRateIsBounded(t *testing.T) {
	for _, c := range []struct {
		members int
		most    float64 // pings a second
	}{{9, 9 * 5}, {50, 250}, {97, 500}, {297, 520}, {1000, 1250}} {
		sum := 0.0
		for rank := range c.members {
			sum += 1 / pingIntervalFor(rank, c.members).Seconds()
		}
		if sum > c.most {
			t.Errorf("%d processes: %.0f pings a second, at most %.0f", c.members, sum, c.most)
		}
	}
	for rank := range 40 {
		if got := pingIntervalFor(rank, 1000); got != pingInterval {
			t.Errorf("candidate %d pings every %s: the loss of the owner would be noticed late", rank, got)
		}
	}
}

// TestRarePingersVoteFresh guards against a vote on the age of a rare ping: a living owner would be replaced, or a dead one
// kept until most processes have pinged it again.
func TestRarePingersVoteFresh(t *testing.T) { inBubble(t, testRarePingersVoteFresh) }

func testRarePingersVoteFresh(t *testing.T) {
	_, nodes := startCell(t, 2)
	owner := ownersOf(nodes)[0]
	voter := others(nodes, owner)[0]
	term := owner.ownership.Load().info.Term
	for i := range 2 * frequentPingers { // better candidates that exist only in the voter's view
		voter.view.setMember(Member{Incarnation: fmt.Sprint("m", i), Address: fmt.Sprintf("10.9.0.%d:1", i), Weight: 2 * testWeight})
	}
	if voter.ownPingInterval() == pingInterval {
		t.Fatal("the voter is a frequent pinger")
	}
	voter.view.recordOwnerReply(voter.clock.Now() - 2*ownerSilenceLimit)
	voter.view.mu.Lock()
	voter.view.claimSeenAt = 0
	voter.view.mu.Unlock()
	if voter.ownerIsLost(context.Background(), term) {
		t.Error("a living owner counts as lost")
	}
	owner.kill()
	started := time.Now()
	if !voter.ownerIsLost(context.Background(), term) {
		t.Error("a dead owner doesn't count as lost")
	}
	if took := time.Since(started); took > voteTimeout {
		t.Errorf("the vote takes %s, limit %s", took, voteTimeout)
	}
}

// TestRarePingersGiveTheOwnerTime guards against a vote after each slow reply to a process that pings rarely: its last
// reply is always older than ownerSilenceLimit, so its ping had the shortest timeout and its failure called a vote (29
// votes on a calm day of 297 VMs).
func TestRarePingersGiveTheOwnerTime(t *testing.T) {
	limit := pingSilenceLimit(maxPingInterval)
	if got := ownerPingTimeout(maxPingInterval, limit); got != pingTimeout {
		t.Errorf("the regular ping of a rare pinger has a timeout of %s, want %s", got, pingTimeout)
	}
	if got := pingSilenceLimit(pingInterval); got != ownerSilenceLimit {
		t.Errorf("a frequent pinger calls a vote after %s, want %s", got, ownerSilenceLimit)
	}
}
