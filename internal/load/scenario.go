package load

import (
	"bytes"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

const (
	defaultLimit          = Duration(10 * time.Second)
	defaultPoll           = Duration(50 * time.Millisecond)
	defaultMaxOutstanding = 5000
)

// Scenario describes a load test.
type Scenario struct {
	Name           string   `toml:"name"`
	Seed           uint64   `toml:"seed"`            // for arrivals and run times
	Entries        []string `toml:"entries"`         // ip:port; the command line overrides it
	MaxOutstanding int      `toml:"max_outstanding"` // limit of outstanding requests; arrivals beyond it are counted as dropped
	Streams        []Stream `toml:"stream"`
	Phases         []Phase  `toml:"phase"`
	Faults         []Fault  `toml:"fault"`
}

// Phase is a period with a constant rate for each stream.
type Phase struct {
	Name     string             `toml:"name"`
	Duration Duration           `toml:"duration"`
	Rates    map[string]float64 `toml:"rates"` // arrivals per second by stream name
}

// Fault is an HTTP call that injects or clears a fault.
type Fault struct {
	At     Duration `toml:"at"` // time since the start of the first phase
	Method string   `toml:"method"`
	URL    string   `toml:"url"`
	Body   string   `toml:"body"`
}

// ReadScenario reads and validates a scenario file.
func ReadScenario(path string) (Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, err
	}
	s, err := ParseScenario(raw)
	if err != nil {
		return Scenario{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// ParseScenario parses and validates a scenario. Unknown keys are errors.
func ParseScenario(raw []byte) (Scenario, error) {
	var s Scenario
	err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(&s)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return Scenario{}, unknownKeys(strict)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		return Scenario{}, fmt.Errorf("line %d, column %d: %w", row, column, err)
	}
	if err != nil {
		return Scenario{}, err
	}
	if s.MaxOutstanding == 0 {
		s.MaxOutstanding = defaultMaxOutstanding
	}
	for i := range s.Streams {
		s.Streams[i] = s.Streams[i].withDefaults()
	}
	return s, s.Validate()
}

// unknownKeys returns one error for each unknown key, joined.
func unknownKeys(strict *toml.StrictMissingError) error {
	var errs []error
	for _, e := range strict.Errors {
		row, column := e.Position()
		errs = append(errs, fmt.Errorf("line %d, column %d: unknown key %q", row, column, strings.Join(e.Key(), ".")))
	}
	return errors.Join(errs...)
}

// Validate returns all errors, joined.
func (s Scenario) Validate() error {
	var errs []error
	if len(s.Phases) == 0 || len(s.Streams) == 0 {
		errs = append(errs, errors.New("scenario needs a phase and a stream"))
	}
	if s.MaxOutstanding < 1 {
		errs = append(errs, errors.New("max_outstanding must be positive"))
	}
	names := map[string]bool{}
	for i, st := range s.Streams {
		if names[st.Name] {
			errs = append(errs, fmt.Errorf("stream %d: name %q is used twice", i, st.Name))
		}
		names[st.Name] = true
		if err := st.Validate(); err != nil {
			errs = append(errs, fmt.Errorf("stream %q: %w", st.Name, err))
		}
	}
	for i, p := range s.Phases {
		errs = append(errs, p.validate(i, names)...)
	}
	for i, f := range s.Faults {
		if u, err := url.Parse(f.URL); err != nil || u.Scheme != "http" || u.Host == "" {
			errs = append(errs, fmt.Errorf("fault %d: url %q is not an http URL", i, f.URL))
		}
		if f.At < 0 {
			errs = append(errs, fmt.Errorf("fault %d: at must not be negative", i))
		}
	}
	return errors.Join(errs...)
}

func (p Phase) validate(i int, streams map[string]bool) []error {
	var errs []error
	if p.Duration <= 0 {
		errs = append(errs, fmt.Errorf("phase %d: duration must be positive", i))
	}
	for name, rate := range p.Rates {
		if !streams[name] {
			errs = append(errs, fmt.Errorf("phase %d: unknown stream %q", i, name))
		}
		if rate < 0 {
			errs = append(errs, fmt.Errorf("phase %d: rate of %q must not be negative", i, name))
		}
	}
	return errs
}

// Scale multiplies all rates.
func (s *Scenario) Scale(factor float64) {
	for _, p := range s.Phases {
		for name := range p.Rates {
			p.Rates[name] *= factor
		}
	}
}
