package pool

import (
	"flag"
	"fmt"
	"math/rand"
	"os"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// testSeed makes test runs reproducible. Pass -rapid.seed to use another seed in
// rapid tests.
const testSeed = 20261203

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set(fmt.Sprint(testSeed))
	}
	_ = flag.Set("rapid.nofailfile", "true") // the seed is enough to reproduce a failure
	// With the defaults of 100 runs of 30 steps, faults that need a takeover or a
	// late message are missed.
	setUnlessGiven("rapid.checks", "100", "500")
	setUnlessGiven("rapid.steps", "30", "100")
	fmt.Println("seed of rapid:", flag.Lookup("rapid.seed").Value, "seed of tables:", testSeed)
	os.Exit(m.Run())
}

// setUnlessGiven sets a flag that still has its default value.
func setUnlessGiven(name, defaultValue, value string) {
	if flag.Lookup(name).Value.String() == defaultValue {
		_ = flag.Set(name, value)
	}
}

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func newTestPool(id model.PoolID) *Pool {
	return New(id, "owner", 1, DefaultConfig(), rand.New(rand.NewSource(testSeed)))
}

func id(name string) model.TemplateID { return model.TemplateID{Workspace: "kalnins", Name: name} }

// job returns an idempotent job template of one core and 1 GB.
func job(name string, urgency int) model.Template {
	return model.Template{
		ID: id(name), Kind: model.KindJob, Urgency: urgency, Idempotent: true, FloodShare: 1, Weight: 1,
		Resources: model.Resources{CoresMilli: 1000, MemoryMB: 1024},
	}
}

func request(name string, urgency int, share, reserve float64) model.Template {
	return model.Template{
		ID: id(name), Kind: model.KindRequest, Service: "orders", Urgency: urgency, Idempotent: true,
		FloodShare: share, Reserve: reserve, Weight: 1, Resources: model.Resources{Slots: 1},
	}
}

func setTemplates(p *Pool, list ...model.Template) {
	m := map[model.TemplateID]model.Template{}
	for _, t := range list {
		m[t.ID] = t
	}
	p.SetTemplates(epoch, m)
}

func worker(cores, gb, accelerators int64) model.Resources {
	return model.Resources{CoresMilli: cores * 1000, MemoryMB: gb * 1024, Accelerators: accelerators}
}

// addEndpoints adds endpoints that have reported at epoch.
func addEndpoints(p *Pool, n int, capacity model.Resources) {
	for i := range n {
		name := fmt.Sprintf("e%04d", i)
		p.AddEndpoint(epoch, name)
		p.HandleSessionReply(epoch, name, epoch, report(capacity))
	}
}

func report(capacity model.Resources) endpoint.SessionReply {
	return endpoint.SessionReply{Instance: "i1", ClockMS: 1000, Capacity: capacity}
}

func demand(t model.Template, count int, oldest time.Time) model.Demand {
	return model.Demand{Template: t.ID, Resources: t.Resources, Tasks: 1, Count: count, Oldest: oldest}
}

func attemptID(n uint64) model.AttemptID {
	key := model.RequestKey{Template: id("t"), ID: fmt.Sprint(n)}
	return model.NewAttemptID(key, 0, n)
}

// startAll uses every grant. On workers the start calls return as accepted; on
// runners they stay in flight.
func startAll(t testing.TB, p *Pool, now time.Time, list []AssignedGrant, next *uint64) []model.AttemptID {
	t.Helper()
	var out []model.AttemptID
	for _, a := range list {
		var ids []model.AttemptID
		for range a.Grant.Endpoints {
			*next++
			ids = append(ids, attemptID(*next))
		}
		if _, err := p.StartAttempts(now, a.Grant.ID, ids); err != nil {
			t.Fatalf("StartAttempts: %v", err)
		}
		for _, a := range ids {
			if !isRunnerPool(p.id) {
				p.HandleStartResult(now, a, StartResult{Kind: StartAccepted})
			}
		}
		out = append(out, ids...)
	}
	return out
}

func byTemplate(list []AssignedGrant) map[string]int {
	m := map[string]int{}
	for _, a := range list {
		m[a.Grant.Template.Name]++
	}
	return m
}

// keepLeases renews the leases of all endpoints, as session replies would.
func keepLeases(p *Pool, now time.Time) {
	for _, e := range p.ordered {
		e.leaseUntil = now.Add(time.Minute)
	}
}
