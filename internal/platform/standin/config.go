package standin

import "time"

// Defaults of the stand-in.
const (
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 2000
	// historyLength is the number of changes kept for watches.
	historyLength = 4096
	// pageBytes bounds the values in one page or set of changes.
	pageBytes = 8 << 20
	// burstFraction of a second's calls may arrive at once.
	burstFraction = 4
)

// Config holds the settings of a server. The zero value takes the defaults.
type Config struct {
	WritesPerSecond float64       // limit; 0 takes the default, negative is unlimited
	ReadsPerSecond  float64       // limit; 0 takes the default, negative is unlimited
	VMLag           time.Duration // how long a change of a VM takes to appear in the list
	Seed            uint64        // of the faults that occur with a probability
}
