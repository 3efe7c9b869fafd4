package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/agateyard/agateyard/internal/platform"
)

// adminTimeout limits one call of an Admin.
const adminTimeout = 5 * time.Second

// Admin is a client of the admin API, with which the stand-ins of runners and
// workers register their VMs and tests set faults. It is safe for concurrent use.
type Admin struct {
	base string
	http http.Client
}

// NewAdmin returns a client of the stand-in at the base URL.
func NewAdmin(baseURL string) *Admin {
	return &Admin{
		base: strings.TrimSuffix(baseURL, "/"),
		http: http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// RegisterVM adds a VM or replaces the one with the same ID.
func (a *Admin) RegisterVM(ctx context.Context, vm platform.VM) error {
	return a.call(ctx, http.MethodPost, "/admin/vms", vm, nil)
}

// RemoveVM removes a VM; it is not an error if the VM does not exist.
func (a *Admin) RemoveVM(ctx context.Context, id string) error {
	return a.call(ctx, http.MethodDelete, "/admin/vms/"+url.PathEscape(id), nil, nil)
}

// SetVMLag sets how long changes of VMs take to appear in the list.
func (a *Admin) SetVMLag(ctx context.Context, lag time.Duration) error {
	return a.call(ctx, http.MethodPut, "/admin/vm-lag", vmLagBody{LagMS: lag.Milliseconds()}, nil)
}

// SetFaults replaces the current faults.
func (a *Admin) SetFaults(ctx context.Context, f Faults) error {
	return a.call(ctx, http.MethodPut, "/admin/faults", f, nil)
}

// Counters returns the counters of the stand-in.
func (a *Admin) Counters(ctx context.Context) (Counters, error) {
	var c Counters
	err := a.call(ctx, http.MethodGet, "/admin/counters", nil, &c)
	return c, err
}

func (a *Admin) call(ctx context.Context, method, path string, body, out any) error {
	failed := oops.In("standin").With("method", method, "path", path)
	b, err := json.Marshal(body)
	if err != nil {
		return failed.Wrapf(err, "encode admin call")
	}
	req, err := http.NewRequestWithContext(ctx, method, a.base+path, bytes.NewReader(b))
	if err != nil {
		return failed.Wrapf(err, "build admin call")
	}
	resp, err := a.http.Do(req)
	if err != nil {
		return failed.Wrapf(err, "admin call")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return failed.Errorf("admin call returned status %s", resp.Status)
	}
	if out == nil {
		return nil
	}
	return failed.Wrapf(json.NewDecoder(resp.Body).Decode(out), "decode admin reply")
}
