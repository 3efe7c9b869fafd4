package candidacy

import "testing"

// TestDirectCallShare guards against an owner that takes on the calls to a fleet of hundreds of runners with a processor or link
// that they would fill (Kalnins large and grown, shifted), and against relays in small cells, where they only add a hop.
func TestDirectCallShare(t *testing.T) {
	for _, c := range []struct {
		name    string
		machine Machine
		load    Load
		large   bool
	}{
		{"48 runners", Machine{CPU: 400, LinkMbps: 1000}, Load{Runners: 48}, false},
		{"48 runners, 155 starts a second", Machine{CPU: 400, LinkMbps: 1000}, Load{48, 155}, false},
		{"350 runners, load not measured yet", Machine{CPU: 800, LinkMbps: 200}, Load{Runners: 350}, true},
		{"540 runners, 900 starts a second", Machine{CPU: 800, LinkMbps: 200}, Load{540, 900}, true},
		{"100 runners on a narrow link", Machine{CPU: 800, LinkMbps: 4}, Load{Runners: 100}, true},
		{"100 runners", Machine{CPU: 800, LinkMbps: 200}, Load{Runners: 100}, false},
	} {
		if share := DirectCallShare(c.machine, c.load); share > 0.2 != c.large {
			t.Errorf("%s: a share of %.2f", c.name, share)
		}
	}
}
