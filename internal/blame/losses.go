package blame

import "time"

const (
	// commonCauseWindow is the time within which losses with a common cause are noticed.
	commonCauseWindow = 100 * time.Millisecond
	// minRackLosses and minFleetLosses are the fewest losses at the same time that suggest a common cause in a rack, of which at
	// least half is lost, and in the fleet, of which at least a tenth is. Unless all of the rack is lost, half of the lost runners
	// must not have started anything right before: tasks that crash their runners may do so at the same time as well.
	minRackLosses  = 3
	minFleetLosses = 5
	// lossMemory is how long losses are compared with later ones.
	lossMemory = time.Minute
)

// Loss is the loss of one runner.
type Loss struct {
	Rack    string
	At      time.Duration
	Started bool // a run had just been started there
}

// Losses holds the recent losses of runners.
type Losses struct {
	recent []Loss // in order of time
}

// Add records a loss.
func (l *Losses) Add(loss Loss) {
	l.recent = append(l.recent, loss)
	expired := 0
	for expired < len(l.recent) && loss.At-l.recent[expired].At > lossMemory {
		expired++
	}
	l.recent = l.recent[expired:]
}

// CommonCause reports whether so many runners of the rack, or of the fleet, were lost at the same time that what ran on one of
// them can't be the cause. Sizes are numbers of runners.
func (l *Losses) CommonCause(loss Loss, rackSize, fleetSize int) bool {
	rack, fleet := 0, 0
	idleRack, idleFleet := 0, 0 // those of them that had not started anything
	for _, other := range l.recent {
		if other.At < loss.At-commonCauseWindow || other.At > loss.At+commonCauseWindow {
			continue
		}
		idle := 1
		if other.Started {
			idle = 0
		}
		fleet, idleFleet = fleet+1, idleFleet+idle
		if other.Rack == loss.Rack {
			rack, idleRack = rack+1, idleRack+idle
		}
	}
	return rack >= minRackLosses && (rack >= rackSize || 2*rack >= rackSize && 2*idleRack >= rack) ||
		fleet >= minFleetLosses && 10*fleet >= fleetSize && 2*idleFleet >= fleet
}
