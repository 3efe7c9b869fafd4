package template

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/settings"
)

// Defaults and limits of the parameters.
const (
	DefaultUrgency    = 5
	DefaultFloodShare = 0.5
	DefaultRetryLimit = 2 // of an idempotent template

	DefaultRequestMaxWait = 10 * time.Second
	DefaultTaskMaxWait    = 24 * time.Hour
	// MaxRequestMaxWait keeps the connection of a synchronous caller within the usual
	// timeouts of proxies.
	MaxRequestMaxWait = 10 * time.Minute
	MaxTaskMaxWait    = 7 * 24 * time.Hour

	DefaultRequestRunLimit = 30 * time.Second
	DefaultTaskRunLimit    = time.Hour
	MaxRequestRunLimit     = 10 * time.Minute
	MaxTaskRunLimit        = 30 * 24 * time.Hour

	DefaultMaxBodyBytes = 64 << 10
	// MaxRequestBodyBytes bounds the body of a synchronous request, which two entry
	// processes keep in memory.
	MaxRequestBodyBytes = 16 << 20
	// MaxTaskBodyBytes is the largest body that the journal stores.
	MaxTaskBodyBytes = 64 << 10

	MaxRetryLimit   = 10
	MaxGangTasks    = 10_000
	MaxServiceTasks = 10_000
	MaxCoresMilli   = 1_024_000
	MaxMemoryMB     = 64 << 20
	MaxAccelerators = 1024

	maxOrderingKeyBytes = 64
	nameRule            = "must be 1 to 63 characters of a-z, 0-9 and inner hyphens"
)

// templateFile is the TOML schema of one template. Pointers distinguish an absent
// key from a zero value.
type templateFile struct {
	Kind         string   `toml:"kind"`
	Service      string   `toml:"service"`
	Urgency      *int64   `toml:"urgency"`
	MaxWait      *string  `toml:"max_wait"`
	Idempotent   *bool    `toml:"idempotent"`
	FloodShare   *float64 `toml:"flood_share"`
	Reserve      *float64 `toml:"reserve"`
	OrderingKey  *string  `toml:"ordering_key"`
	CoresMilli   *int64   `toml:"cores_milli"`
	MemoryMB     *int64   `toml:"memory_mb"`
	Accelerators *int64   `toml:"accelerators"`
	Tasks        *int64   `toml:"tasks"`
	RunLimit     *string  `toml:"run_limit"`
	StoreDown    *string  `toml:"store_down"`
	MaxBodyBytes *int64   `toml:"max_body_bytes"`
	RetryLimit   *int64   `toml:"retry_limit"`
}

// template converts and validates one template.
func (c *checker) template(doc *Document, name string, raw templateFile) model.Template {
	t := model.Template{
		ID:     model.TemplateID{Workspace: doc.Workspace, Name: name},
		Weight: doc.Weight,
	}
	p := &paramChecker{checker: c, name: name, raw: raw, t: &t}
	if !settings.ValidName(name) {
		c.Report("template."+name, "name "+nameRule)
	}
	if !p.kind() {
		return t // the rules for the other parameters depend on the kind
	}
	p.service()
	p.policy()
	p.shares()
	p.resources()
	p.tasks()
	p.limits()
	p.retries()
	return t
}

// paramChecker checks the parameters of one template.
type paramChecker struct {
	*checker
	name string
	raw  templateFile
	t    *model.Template
}

func (p *paramChecker) report(parameter, format string, args ...any) {
	p.Report(keyPath(p.name, parameter), format, args...)
}

func (p *paramChecker) has(parameter string) bool { return p.Has(keyPath(p.name, parameter)) }

// required reports an absent parameter, unless the parameter may be missing because
// of a syntax error.
func (p *paramChecker) required(parameter, why string) {
	if !p.has(parameter) && p.Complete() {
		p.report(parameter, "is required%s", why)
	}
}

// onlyFor reports a parameter that doesn't apply to the kind.
func (p *paramChecker) onlyFor(parameter, kinds string) {
	if p.has(parameter) {
		p.report(parameter, "applies only to kind %s", kinds)
	}
}

func (p *paramChecker) kind() bool {
	p.t.Kind = model.Kind(p.raw.Kind)
	switch p.t.Kind {
	case model.KindRequest, model.KindJob, model.KindGang, model.KindService:
		return true
	}
	if p.has("kind") {
		p.report("kind", "must be one of request, job, gang and service")
	} else {
		p.required("kind", "")
	}
	return false
}

func (p *paramChecker) isRequest() bool { return p.t.Kind == model.KindRequest }

func (p *paramChecker) service() {
	if !p.isRequest() {
		p.onlyFor("service", "request")
		return
	}
	p.required("service", " for kind request")
	if p.has("service") && !settings.ValidName(p.raw.Service) {
		p.report("service", nameRule)
	}
	p.t.Service = p.raw.Service
}

func (p *paramChecker) policy() {
	p.t.Urgency = int(p.intParam("urgency", p.raw.Urgency, DefaultUrgency, 0, model.MaxUrgency))
	if p.raw.Idempotent != nil {
		p.t.Idempotent = *p.raw.Idempotent
	}
	p.t.StoreDown = model.StoreDownRefuse
	if v := p.raw.StoreDown; v != nil {
		switch *v {
		case string(model.StoreDownRefuse):
		case "run_once":
			p.report("store_down", `"run_once" is not implemented, use "refuse"`)
		default:
			p.report("store_down", `must be "refuse"`)
		}
	}
	if v := p.raw.OrderingKey; v != nil {
		if !validOrderingKey(*v) {
			p.report("ordering_key", "must be 1 to %d characters of A-Z, a-z, 0-9, hyphen and underscore", maxOrderingKeyBytes)
		}
		p.t.OrderingKey = *v
	}
}

func validOrderingKey(s string) bool {
	for _, r := range s {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_'
		if !ok {
			return false
		}
	}
	return s != "" && len(s) <= maxOrderingKeyBytes
}

func (p *paramChecker) shares() {
	p.t.FloodShare = p.fractionParam("flood_share", p.raw.FloodShare, DefaultFloodShare)
	if p.t.FloodShare == 0 && p.raw.FloodShare != nil {
		p.report("flood_share", "must be above 0: with 0 the template never runs")
	}
	p.t.Reserve = p.fractionParam("reserve", p.raw.Reserve, 0)
	if p.t.Reserve > p.t.FloodShare {
		p.report("reserve", "must not exceed flood_share (%v): the template could not use the rest", p.t.FloodShare)
	}
}

func (p *paramChecker) resources() {
	if p.isRequest() {
		p.t.Resources = model.Resources{Slots: 1}
		p.onlyFor("cores_milli", "job, gang and service")
		p.onlyFor("memory_mb", "job, gang and service")
		p.onlyFor("accelerators", "job, gang and service")
		return
	}
	why := " for kind " + string(p.t.Kind)
	p.required("cores_milli", why)
	p.required("memory_mb", why)
	p.t.Resources = model.Resources{
		CoresMilli:   p.intParam("cores_milli", p.raw.CoresMilli, 0, 1, MaxCoresMilli),
		MemoryMB:     p.intParam("memory_mb", p.raw.MemoryMB, 0, 1, MaxMemoryMB),
		Accelerators: p.intParam("accelerators", p.raw.Accelerators, 0, 0, MaxAccelerators),
	}
}

func (p *paramChecker) tasks() {
	p.t.Tasks = 1
	switch p.t.Kind {
	case model.KindGang:
		p.required("tasks", " for kind gang")
		p.t.Tasks = int(p.intParam("tasks", p.raw.Tasks, 2, 2, MaxGangTasks))
	case model.KindService:
		p.t.Tasks = int(p.intParam("tasks", p.raw.Tasks, 1, 1, MaxServiceTasks))
	default:
		p.onlyFor("tasks", "gang and service")
	}
}

func (p *paramChecker) limits() {
	body := int64(MaxTaskBodyBytes)
	wait, maxWait := DefaultTaskMaxWait, MaxTaskMaxWait
	run, maxRun := DefaultTaskRunLimit, MaxTaskRunLimit
	if p.isRequest() {
		body = MaxRequestBodyBytes
		wait, maxWait = DefaultRequestMaxWait, MaxRequestMaxWait
		run, maxRun = DefaultRequestRunLimit, MaxRequestRunLimit
	}
	p.t.MaxBodyBytes = p.intParam("max_body_bytes", p.raw.MaxBodyBytes, DefaultMaxBodyBytes, 0, body)
	p.t.MaxWait = p.durationParam("max_wait", p.raw.MaxWait, wait, 10*time.Millisecond, maxWait)
	if p.t.Kind == model.KindService {
		p.onlyFor("run_limit", "request, job and gang; a service runs until it is cancelled")
		return
	}
	p.t.RunLimit = p.durationParam("run_limit", p.raw.RunLimit, run, 10*time.Millisecond, maxRun)
}

func (p *paramChecker) retries() {
	fallback := int64(0)
	if p.t.Idempotent {
		fallback = DefaultRetryLimit
	}
	p.t.RetryLimit = int(p.intParam("retry_limit", p.raw.RetryLimit, fallback, 0, MaxRetryLimit))
	if p.t.RetryLimit > 0 && !p.t.Idempotent {
		p.report("retry_limit", "must be 0 without idempotent = true: a repeat could run the work twice")
	}
}

// intParam returns the value, or the fallback when it is absent or out of the range.
func (p *paramChecker) intParam(parameter string, value *int64, fallback, low, high int64) int64 {
	if value == nil {
		return fallback
	}
	if *value < low || *value > high {
		p.report(parameter, "must be %d to %d", low, high)
		return fallback
	}
	return *value
}

func (p *paramChecker) fractionParam(parameter string, value *float64, fallback float64) float64 {
	if value == nil {
		return fallback
	}
	if !(*value >= 0 && *value <= 1) { // false for NaN
		p.report(parameter, "must be 0 to 1")
		return fallback
	}
	return *value
}

func (p *paramChecker) durationParam(parameter string, value *string, fallback, low, high time.Duration) time.Duration {
	if value == nil {
		return fallback
	}
	if t, ok := p.Duration(keyPath(p.name, parameter), *value, low, high); ok {
		return t
	}
	return fallback
}
