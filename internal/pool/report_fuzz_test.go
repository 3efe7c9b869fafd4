package pool

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// FuzzSessionReply guards against a malformed report of one endpoint that makes the event loop
// of the pool owner panic or run for ever.
func FuzzSessionReply(f *testing.F) {
	for _, seed := range []string{
		`{}`, `{"capacity":{"cores_milli":-1,"memory_mb":-9223372036854775808},"clock_ms":-9223372036854775808}`,
		`{"instance":"i","capacity":{"cores_milli":9223372036854775807,"memory_mb":9223372036854775807},"running":[{"attempt":"","template":"/","run_ms":-1,"resources":{"cores_milli":9223372036854775807}}]}`,
		`{"ended":[{"seq":18446744073709551615,"attempt":"x","run_ms":-1,"max_usage":{"cores_milli":-1}},{"seq":0,"attempt":"x"}],"leaving":true}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var r endpoint.SessionReply
		if json.Unmarshal(data, &r) != nil {
			return
		}
		p := newTestPool("worker/z/r")
		work := job("work", 5)
		setTemplates(p, work)
		addEndpoints(p, 2, worker(4, 8, 0))
		for i, now := range []time.Time{at(time.Second), at(2 * time.Second), at(time.Minute)} {
			p.HandleSessionReply(now, "e0000", now, r)
			p.SetDemand(now, "s", uint64(i+1), []model.Demand{demand(work, 3, now)})
			for _, a := range p.Schedule(now) {
				_, _ = p.StartAttempts(now, a.Grant.ID, []model.AttemptID{attemptID(uint64(i*10) + a.Grant.ID)})
			}
			p.NextSession(now, "e0000")
			p.Tick(now)
			p.Summary(now)
		}
	})
}
