package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/agateyard/agateyard/internal/platform"
)

// registerTimeout is the timeout of one call to the platform.
const registerTimeout = 2 * time.Second

// maxRegisterInterval is the maximum mean interval between two calls. The actual
// intervals are randomized.
const maxRegisterInterval = 2 * time.Second

// platformClient keeps an idle connection for each concurrent call of a Host.
// Otherwise the registration of thousands of VMs would exhaust the local ports.
var platformClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: registerConcurrency, IdleConnTimeout: 5 * time.Second}}

// registerVM adds the VM to the platform's list. It retries until the call succeeds
// or the context ends, unless the URL is invalid.
func registerVM(ctx context.Context, platformURL string, vm platform.VM) error {
	body, err := json.Marshal(vm)
	if err != nil {
		return err
	}
	retryPolicy := backoff.NewExponentialBackOff()
	retryPolicy.InitialInterval = 50 * time.Millisecond
	retryPolicy.MaxInterval = maxRegisterInterval
	_, err = backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, callPlatform(ctx, http.MethodPost, platformURL+"/admin/vms", body)
	}, backoff.WithBackOff(retryPolicy), backoff.WithMaxElapsedTime(0))
	return err
}

// callPlatform makes one call to the platform, without retries.
func callPlatform(ctx context.Context, method, url string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return backoff.Permanent(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := platformClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("platform returned status %s", resp.Status)
	}
	return nil
}
