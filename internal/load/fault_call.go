package load

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/ctxtime"
)

// faultTimeout limits one call to a fault injection endpoint.
const faultTimeout = 5 * time.Second

// applyFault waits for the time of the fault and injects it.
func (r *run) applyFault(ctx context.Context, f Fault) {
	if !ctxtime.Sleep(ctx, f.At.D()) {
		return
	}
	rep := FaultReport{At: f.At, URL: f.URL}
	status, err := callFault(ctx, f)
	rep.Status = status
	if err != nil {
		rep.Error = err.Error()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, rep)
}

func callFault(ctx context.Context, f Fault) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	method := f.Method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, f.URL, strings.NewReader(f.Body))
	if err != nil {
		return 0, err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return resp.StatusCode, fmt.Errorf("status %s", resp.Status)
	}
	return resp.StatusCode, nil
}
