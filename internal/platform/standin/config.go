package standin

import "time"

// Defaults of the stand-in.
const (
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 2000
	// historyLength is the number of changes that are kept for watches when the history
	// is trimmed, which happens at twice this length.
	historyLength = 4096
	// pageBytes limits the total size of the values in one page or set of changes.
	pageBytes = 8 << 20
	// burstDivisor sets the burst of a limiter: its rate per second divided by this.
	burstDivisor = 4
)

// Config holds the settings of a server. The zero value means the defaults.
type Config struct {
	WritesPerSecond float64       // rate limit; 0 means the default, negative no limit
	ReadsPerSecond  float64       // rate limit; 0 means the default, negative no limit
	VMLag           time.Duration // how long a change of a VM takes to appear in the list
	Seed            uint64        // seed of the faults that occur with a probability
}
