package candidacy

// Load is the work of a cell's owner. The zero value means that it is not known.
type Load struct {
	Runners         int
	StartsPerSecond float64 // highest recent rate
}

const (
	// assumedRunners is assumed while the load is not known: the size of the fleets that the deployments start with.
	assumedRunners = 350
	// assumedStartsPerRunner is the rate that is assumed until a higher one has been measured, as callers' load can
	// rise within a second: 450 starts a second were measured with 350 runners (docs/CAPACITY.md).
	assumedStartsPerRunner = 450.0 / 350
	// maxAssumedStarts bounds the assumption: larger fleets have longer tasks.
	maxAssumedStarts = 450
)

// expected returns the load that an owner has to be prepared for.
func (l Load) expected() Load {
	if l.Runners <= 0 {
		l.Runners = assumedRunners
	}
	l.StartsPerSecond = max(l.StartsPerSecond, min(float64(l.Runners)*assumedStartsPerRunner, maxAssumedStarts))
	return l
}
