package membership

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform"
)

// Defaults of Config.
const (
	DefaultLeaseTTL      = 3 * time.Second
	DefaultRenewInterval = time.Second
	DefaultQuietPeriod   = 200 * time.Millisecond
	// DefaultWatchWait is short because a watch that the store never answers
	// hides changes until it times out.
	DefaultWatchWait = 2 * time.Second
)

// Config holds the settings of a Manager. Durations of 0 take the defaults.
type Config struct {
	Self          model.Member // Incarnation must be new at every start
	Store         platform.Store
	LeaseTTL      time.Duration
	RenewInterval time.Duration
	QuietPeriod   time.Duration // time without a change of members before the next view is written
	WatchWait     time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.LeaseTTL, DefaultLeaseTTL)
	setDefault(&c.RenewInterval, DefaultRenewInterval)
	setDefault(&c.QuietPeriod, DefaultQuietPeriod)
	setDefault(&c.WatchWait, DefaultWatchWait)
	return c
}

func setDefault(d *time.Duration, standard time.Duration) {
	if *d == 0 {
		*d = standard
	}
}
