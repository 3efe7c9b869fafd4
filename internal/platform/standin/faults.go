package standin

// Faults are the injected faults of the stand-in. The zero value has no faults.
type Faults struct {
	// Outage refuses every call with ErrUnavailable and ends pending watches.
	Outage bool `json:"outage"`
	// ExpireInOutage ends the leases whose time runs out during an outage, at the end
	// of the outage. Without it every lease is renewed when the outage ends.
	ExpireInOutage bool `json:"lapse_in_outage"`
	// LatencyMS is added to every call, watches included.
	LatencyMS int64 `json:"latency_ms"`
	// LostReplies is the probability that a write takes effect but its reply is lost.
	LostReplies float64 `json:"lost_replies"`
	// LostRequests is the probability that a write is lost before it takes effect.
	LostRequests float64 `json:"lost_requests"`
	// LoseNextReplies is the number of following writes whose replies are lost.
	LoseNextReplies int `json:"lose_next_replies"`
	// LoseNextRequests is the number of following writes that are lost before they take effect.
	LoseNextRequests int `json:"lose_next_requests"`
	// DelayNextWrites is the number of following writes that fail at once with
	// ErrUncertain and take effect LateMS later.
	DelayNextWrites int   `json:"delay_next_writes"`
	LateMS          int64 `json:"late_ms"`
	// StallWatches leaves watches without a reply, even after their wait time.
	StallWatches bool `json:"stall_watches"`
}

// writeOutcome is the effect of the faults on one write.
type writeOutcome int

const (
	outcomeNormal writeOutcome = iota
	outcomeReplyLost
	outcomeRequestLost
	outcomeDelayed
)
