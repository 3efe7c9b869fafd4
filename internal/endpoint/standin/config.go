package standin

import (
	"errors"
	"fmt"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform"
)

// RunnerSlots is the default number of concurrent requests of a runner.
const RunnerSlots = 8

// RunnerConnections is the default connection limit of a runner.
const RunnerConnections = 60

// defaultRunTime is the run time of work that doesn't specify one.
const defaultRunTime = 20 * time.Millisecond

// maxStartWindow is how far in the future a start deadline may be.
const maxStartWindow = time.Minute

// attemptRetention is how long the records of ended and blocked attempts are
// kept. It must exceed maxStartWindow: a start command that arrives again after
// its record was discarded must be refused as expired.
const attemptRetention = 2 * time.Minute

// maxReportedAnswerBytes is the maximum size of an answer in a report.
const maxReportedAnswerBytes = 64 << 10

// Config describes one endpoint.
type Config struct {
	ID             string // of the VM
	Kind           platform.VMKind
	Zone           string
	Rack           string // workers
	Service        string // runners
	Capacity       model.Resources
	MaxConnections int           // further connections are reset immediately; 0 for no limit
	LeaseTTL       time.Duration // work is stopped if no session call arrives for this long
	UsageLag       time.Duration // age of reported usage
	Defaults       Work          // for fields that the request omits
	MaxEffects     int           // maximum number of entries of the effect log
}

// RunnerConfig returns the default configuration of a runner of the service.
func RunnerConfig(id, zone, service string) Config {
	c := baseConfig(id, zone)
	c.Kind = platform.VMRunner
	c.Service = service
	c.Capacity = model.Resources{Slots: RunnerSlots}
	c.MaxConnections = RunnerConnections
	return c
}

// WorkerConfig returns the default configuration of a worker with the capacity.
func WorkerConfig(id, zone, rack string, capacity model.Resources) Config {
	c := baseConfig(id, zone)
	c.Kind = platform.VMWorker
	c.Rack = rack
	c.Capacity = capacity
	return c
}

func baseConfig(id, zone string) Config {
	return Config{
		ID:         id,
		Zone:       zone,
		LeaseTTL:   endpoint.LeaseTTL,
		UsageLag:   time.Second,
		Defaults:   Work{RunMS: defaultRunTime.Milliseconds(), AnswerBytes: 200},
		MaxEffects: 1 << 20,
	}
}

// Validate returns all errors in the configuration, joined.
func (c Config) Validate() error {
	var errs []error
	if c.ID == "" {
		errs = append(errs, errors.New("id is empty"))
	}
	switch c.Kind {
	case platform.VMRunner:
		if c.Service == "" {
			errs = append(errs, errors.New("service of a runner is empty"))
		}
	case platform.VMWorker:
		if c.Rack == "" {
			errs = append(errs, errors.New("rack of a worker is empty"))
		}
	default:
		errs = append(errs, fmt.Errorf("kind %q is neither runner nor worker", c.Kind))
	}
	if c.Capacity.IsZero() {
		errs = append(errs, errors.New("capacity is zero"))
	}
	if c.LeaseTTL <= 0 {
		errs = append(errs, errors.New("lease TTL must be positive"))
	}
	if c.MaxEffects <= 0 {
		errs = append(errs, errors.New("max effects must be positive"))
	}
	return errors.Join(errs...)
}

// vm returns the entry for the platform's VM list.
func (c Config) vm(address string, state platform.VMState) platform.VM {
	return platform.VM{ID: c.ID, Address: address, Kind: c.Kind, Zone: c.Zone, Rack: c.Rack, Service: c.Service, State: state}
}
