package relay

const (
	// relayAbove is the share of an owner's processor or link, taken by calls to runners, from which on they are relayed. What the
	// calls need beyond it is missing for placement, acceptance and polls as soon as callers submit twice as much.
	relayAbove = 0.2
	// directBelow is the share below which calls are direct again, so far below that the mode doesn't follow each burst.
	directBelow = 0.05
)

// Mode decides whether an owner calls the runners itself or through other processes. The zero value calls directly.
type Mode struct{ relaying bool }

// Update returns whether to relay, given the share of the owner's processor or link that direct calls would take, and the numbers
// of runners and of those up to which its descriptors allow direct calls (0: no limit).
func (m *Mode) Update(share float64, runners, directMax int) bool {
	switch {
	case directMax > 0 && runners > directMax, share > relayAbove:
		m.relaying = true
	case share < directBelow && (directMax == 0 || runners <= directMax-directMax/hysteresis):
		m.relaying = false
	}
	return m.relaying
}

// hysteresis: calls are direct again once the runners are 1/hysteresis below the number that the descriptors allow.
const hysteresis = 10
