package entry

import (
	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/configstore"
	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/platform"
	"github.com/agateyard/agateyard/internal/pool"
	"github.com/agateyard/agateyard/internal/settings"
	"github.com/agateyard/agateyard/internal/shard"
	"github.com/agateyard/agateyard/internal/timeline"
)

// Config holds the settings and dependencies of a process.
type Config struct {
	Settings  settings.Entry
	Store     platform.Store
	VMs       platform.VMList
	Cache     *configstore.Cache
	Recorder  *timeline.Recorder
	Log       *logrus.Entry
	NewClient func(address string) endpoint.Client
}

func (c Config) poolConfig() pool.Config {
	cfg := pool.DefaultConfig()
	cfg.RecordRetention = c.Settings.Retention.Record
	return cfg
}

func (c Config) shardConfig() shard.Config {
	return shard.Config{
		QueueEntries: c.Settings.Limits.QueueEntries,
		QueueBytes:   c.Settings.Limits.QueueBytes,
		AcceptBytes:  c.Settings.Limits.JournalBodyBytes,
		Retention:    c.Settings.Retention.Record,
	}
}
