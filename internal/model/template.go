package model

import "time"

// Kind is the kind of work that a template runs.
type Kind string

// The kinds of work.
const (
	KindRequest Kind = "request" // answered by a runner while the caller waits
	KindJob     Kind = "job"     // one task on a worker
	KindGang    Kind = "gang"    // several tasks that start together or not at all
	KindService Kind = "service" // long-running replicas on workers
)

// StoreDownPolicy determines how work that needs the journal is handled while the key-value
// service is not writable.
type StoreDownPolicy string

// StoreDownRefuse answers not-run with a Retry-After. No other policy is implemented.
const StoreDownRefuse StoreDownPolicy = "refuse"

// MaxUrgency is the highest urgency. The lowest is 0.
const MaxUrgency = 9

// TemplateID names a template within its workspace.
type TemplateID struct {
	Workspace string `json:"workspace"`
	Name      string `json:"name"`
}

// String returns "workspace/name".
func (t TemplateID) String() string { return t.Workspace + "/" + t.Name }

// Template holds the operator's parameters for one kind of work of a workspace.
type Template struct {
	ID           TemplateID      `json:"id"`
	Kind         Kind            `json:"kind"`
	Service      string          `json:"service,omitempty"` // runner service; requests only
	Urgency      int             `json:"urgency"`           // 0 to MaxUrgency
	MaxWait      time.Duration   `json:"max_wait"`          // how long a caller may wait for the start of the work
	Idempotent   bool            `json:"idempotent"`        // may be retried after a lost attempt
	FloodShare   float64         `json:"flood_share"`       // share of a pool's capacity it may use during a flood, 0 to 1
	Reserve      float64         `json:"reserve"`           // share of a pool's capacity kept free for it, 0 to 1
	OrderingKey  string          `json:"ordering_key,omitempty"`
	Resources    Resources       `json:"resources"` // of one task; one slot for a request
	Tasks        int             `json:"tasks"`     // tasks of a gang or replicas of a service; 1 otherwise
	RunLimit     time.Duration   `json:"run_limit"` // longest run of one attempt; 0 for a service
	StoreDown    StoreDownPolicy `json:"store_down"`
	MaxBodyBytes int64           `json:"max_body_bytes"`
	RetryLimit   int             `json:"retry_limit"` // maximum retries of one idempotent request
	Weight       float64         `json:"weight"`      // of the workspace in fair sharing
}

// PoolPrefix returns the prefix of the identifiers of pools that can run the template.
func (t Template) PoolPrefix() string {
	if t.Kind == KindRequest {
		return "runner/" + t.Service + "/"
	}
	return "worker/"
}
