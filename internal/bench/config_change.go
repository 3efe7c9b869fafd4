package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/agateyard/agateyard/internal/ctxtime"
	"github.com/agateyard/agateyard/internal/gateway"
)

const (
	// changePollInterval is the resolution of the measured time until a change is in force.
	changePollInterval = 10 * time.Millisecond
	changeTimeout      = 30 * time.Second
)

// applyTemplates stores the templates as the revision after the given one and
// returns the time until they are in force at every member.
func (c *cell) applyTemplates(ctx context.Context, revision uint64) (time.Duration, error) {
	text := templates + fmt.Sprintf("# change %d\n", revision+1)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut,
		"http://"+c.entries[0].http+"/v1/config/workspaces/bench", strings.NewReader(text))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/toml")
	req.Header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(revision)))
	req.Header.Set(gateway.HeaderIdempotencyKey, uuid.NewString())
	req.Header.Set(gateway.HeaderAuthor, "bench")
	sent := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1000))
		return 0, fmt.Errorf("apply: %s: %s", resp.Status, text)
	}
	for !c.inForce(revision + 1) {
		if time.Since(sent) > changeTimeout {
			return 0, fmt.Errorf("revision %d is not in force everywhere after %v", revision+1, changeTimeout)
		}
		if !ctxtime.Sleep(ctx, changePollInterval) {
			return 0, ctx.Err()
		}
	}
	return time.Since(sent), nil
}

// inForce reports whether every member of the cell has the revision or a later one
// in force.
func (c *cell) inForce(revision uint64) bool {
	s, err := c.status()
	if err != nil || len(s.Members) != c.opts.Members {
		return false
	}
	for _, m := range s.Members {
		if revisionInForce(m) < revision {
			return false
		}
	}
	return true
}

// revisionInForce returns the revision of the bench workspace that a member has in force.
func revisionInForce(m gateway.MemberStatus) uint64 {
	for name, revision := range m.Revisions {
		if strings.HasSuffix(name, "workspace/bench") {
			return revision
		}
	}
	return 0
}
