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

// registerTimeout bounds one call to the platform.
const registerTimeout = 2 * time.Second

// maxRegisterInterval bounds the pause between two calls.
const maxRegisterInterval = 2 * time.Second

// platformClient keeps as many connections as a host uses at a time, so that
// the registration of thousands of VMs doesn't use up the local ports.
var platformClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: registerParallel, IdleConnTimeout: 5 * time.Second}}

// register posts the VM to the platform until it answers or the context ends.
func register(ctx context.Context, platformURL string, vm platform.VM) error {
	body, err := json.Marshal(vm)
	if err != nil {
		return err
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 50 * time.Millisecond
	pause.MaxInterval = maxRegisterInterval
	_, err = backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, callPlatform(ctx, http.MethodPost, platformURL+"/admin/vms", body)
	}, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(0))
	return err
}

// callPlatform makes one call.
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
		return fmt.Errorf("platform answered %s", resp.Status)
	}
	return nil
}
