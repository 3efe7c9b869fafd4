package standin

// Faults are the switches of the stand-in. The zero value has no fault.
type Faults struct {
	// Outage refuses every call with ErrUnavailable and ends waiting watches.
	Outage bool `json:"outage"`
	// ExpireInOutage lets leases lapse during an outage. Without it every lease
	// starts a new term when the outage ends.
	ExpireInOutage bool `json:"lapse_in_outage"`
	// LatencyMS is added to every call, watches included.
	LatencyMS int64 `json:"latency_ms"`
	// LostReplies is the probability that a write takes effect and its reply is lost.
	LostReplies float64 `json:"lost_replies"`
	// LostRequests is the probability that a write is lost before it takes effect.
	LostRequests float64 `json:"lost_requests"`
	// LoseNextReplies is the number of next writes whose reply is lost.
	LoseNextReplies int `json:"lose_next_replies"`
	// LoseNextRequests is the number of next writes that are lost before they take effect.
	LoseNextRequests int `json:"lose_next_requests"`
	// DelayNextWrites is the number of next writes whose reply is lost at once and
	// that take effect LateMS later.
	DelayNextWrites int   `json:"delay_next_writes"`
	LateMS          int64 `json:"late_ms"`
	// StallWatches holds watches back without a reply, beyond their waiting time.
	StallWatches bool `json:"stall_watches"`
}

// fate of one write under the faults.
type fate int

const (
	fateNormal fate = iota
	fateLostReply
	fateLostRequest
	fateDelayed
)
