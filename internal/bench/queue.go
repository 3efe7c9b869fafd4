package bench

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// submitters is the number of concurrent submissions that fill the queue.
const submitters = 512

// fillQueue submits the jobs that stay queued. It uses the entry processes in turn,
// and each one assigns identifiers of its own shards, so the jobs are spread evenly.
func (c *cell) fillQueue(ctx context.Context) error {
	transport := &http.Transport{MaxIdleConnsPerHost: submitters}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var next atomic.Int64
	g, ctx := errgroup.WithContext(ctx)
	for range submitters {
		g.Go(func() error {
			for i := next.Add(1); i <= int64(c.opts.Queued); i = next.Add(1) {
				if err := c.submit(ctx, client, int(i)); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return g.Wait()
}

func (c *cell) submit(ctx context.Context, client *http.Client, i int) error {
	url := "http://" + c.entries[i%len(c.entries)].http + "/v1/workspaces/bench/templates/waiting/jobs"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"run_ms": 50}`))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusAccepted {
		return fmt.Errorf("submit job %d: %s", i, resp.Status)
	}
	return nil
}
