package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/agateyard/agateyard/internal/platform"
)

// Guards against a client that returns an outdated VM list after a "not modified"
// reply, and against the platform sending an unchanged list again.
func TestVMListIsReadAgainOnlyAfterAChange(t *testing.T) {
	s := New(Config{})
	defer s.Close()
	full := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		s.Handler().ServeHTTP(rec, r)
		if rec.Code == http.StatusOK {
			full++
		}
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	defer server.Close()
	c := platform.NewHTTPClient(server.URL)
	defer c.Close()
	read := func(want, wantFull int) {
		t.Helper()
		vms, err := c.VMs(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if len(vms) != want || full != wantFull {
			t.Fatalf("%d VMs after %d full lists, want %d after %d", len(vms), full, want, wantFull)
		}
	}
	read(0, 1)
	s.RegisterVM(platform.VM{ID: "a"})
	read(1, 2)
	read(1, 2)
	s.RegisterVM(platform.VM{ID: "b"})
	read(2, 3)
	s.RegisterVM(platform.VM{ID: "b", State: platform.VMLeaving})
	read(2, 4)
	s.RemoveVM("a")
	read(1, 5)
	s.SetFaults(Faults{Outage: true})
	if _, err := c.VMs(context.Background()); err == nil {
		t.Fatal("a read during an outage succeeds")
	}
	s.SetFaults(Faults{})
	read(1, 5)
}
