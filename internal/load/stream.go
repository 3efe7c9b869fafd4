package load

import (
	"errors"
	"fmt"
)

// Mode says how a stream submits its work.
type Mode string

// The modes.
const (
	ModeRequest Mode = "request" // synchronous
	ModeJob     Mode = "job"     // accepted, then polled until it has an outcome
	ModeService Mode = "service" // accepted, then polled until all replicas run
)

// IdentifierSource says where the identifiers of requests come from.
type IdentifierSource string

// The sources.
const (
	IdentifierClient IdentifierSource = "client" // UUIDv7 minted here
	IdentifierServer IdentifierSource = "server" // POST /v1/identifiers
	IdentifierNone   IdentifierSource = "none"   // assigned by the entry process
)

// Stream is the load on one template.
type Stream struct {
	Name           string           `toml:"name"` // "workspace/template" when empty
	Workspace      string           `toml:"workspace"`
	Template       string           `toml:"template"`
	Idempotent     bool             `toml:"idempotent"` // as in the template
	Mode           Mode             `toml:"mode"`       // request when empty
	Identifier     IdentifierSource `toml:"identifier"` // client when empty
	Run            Distribution     `toml:"run"`
	AnswerBytes    int              `toml:"answer_bytes"`
	BodyBytes      int              `toml:"body_bytes"` // padding of the request body
	FailRate       float64          `toml:"fail"`       // probability that the work itself fails
	OrderingField  string           `toml:"ordering_field"`
	OrderingValues int              `toml:"ordering_values"` // values that the ordering field takes
	Repeat         float64          `toml:"repeat"`          // probability that the same identifier is sent twice
	RepeatAfter    Duration         `toml:"repeat_after"`
	Limit          Duration         `toml:"limit"`   // how long the client waits for a final answer
	Retries        int              `toml:"retries"` // new requests after Retry-After
	Resends        int              `toml:"resends"` // of the same identifier after an error, through another entry process
	Poll           Duration         `toml:"poll"`    // of jobs
}

// withDefaults fills in what the file leaves out.
func (s Stream) withDefaults() Stream {
	if s.Name == "" {
		s.Name = s.Workspace + "/" + s.Template
	}
	if s.Mode == "" {
		s.Mode = ModeRequest
	}
	if s.Identifier == "" {
		s.Identifier = IdentifierClient
	}
	if s.Limit == 0 {
		s.Limit = defaultLimit
	}
	if s.Poll == 0 {
		s.Poll = defaultPoll
	}
	return s
}

// Validate returns all faults, joined.
func (s Stream) Validate() error {
	var errs []error
	if s.Workspace == "" || s.Template == "" {
		errs = append(errs, errors.New("workspace or template is empty"))
	}
	switch s.Mode {
	case ModeRequest, ModeJob, ModeService:
	default:
		errs = append(errs, fmt.Errorf("unknown mode %q", s.Mode))
	}
	switch s.Identifier {
	case IdentifierClient, IdentifierServer:
	case IdentifierNone:
		if s.Repeat > 0 || s.Resends > 0 {
			errs = append(errs, errors.New("repeat and resends need an identifier"))
		}
	default:
		errs = append(errs, fmt.Errorf("unknown identifier source %q", s.Identifier))
	}
	if s.Repeat < 0 || s.Repeat > 1 || s.FailRate < 0 || s.FailRate > 1 {
		errs = append(errs, errors.New("repeat and fail must be within 0 and 1"))
	}
	if s.Limit < 0 || s.Poll < 0 || s.RepeatAfter < 0 {
		errs = append(errs, errors.New("limit, poll and repeat_after must not be negative"))
	}
	if s.Retries < 0 || s.Resends < 0 || s.AnswerBytes < 0 || s.BodyBytes < 0 {
		errs = append(errs, errors.New("retries, resends, answer_bytes and body_bytes must not be negative"))
	}
	if (s.OrderingField == "") != (s.OrderingValues == 0) {
		errs = append(errs, errors.New("ordering_field and ordering_values go together"))
	}
	if err := s.Run.Validate(); err != nil {
		errs = append(errs, fmt.Errorf("run: %w", err))
	}
	return errors.Join(errs...)
}
