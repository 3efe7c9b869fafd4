package ctl

import (
	"context"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/agateyard/agateyard/internal/gateway"
	"github.com/agateyard/agateyard/internal/model"
)

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show members, pools and queues of the cell",
		Args:  usageArgs(cobra.NoArgs),
		RunE:  func(cmd *cobra.Command, _ []string) error { return a.status(cmd.Context()) },
	}
}

func (a *app) status(ctx context.Context) error {
	var s gateway.CellStatus
	if err := a.fetch(ctx, call{method: "GET", path: "/v1/status"}, &s); err != nil {
		return err
	}
	return a.print(s, func(t *table) {
		t.row("MEMBER", "ZONE", "ADDRESS", "STATE", "VIEW", "STORE", "SHARDS", "POOLS", "QUEUED", "RUNNING", "REVISIONS")
		for _, m := range s.Members {
			t.row(m.Incarnation, m.Zone, m.HTTPAddress, memberState(m), m.View, upDown(m.StoreReachable),
				m.Shards, m.Pools, m.Queued, m.Running, revisions(m.Revisions))
		}
		t.row()
		t.row("POOL", "OWNER", "ENDPOINTS", "FREE", "TOTAL", "WAITING")
		for _, p := range s.Pools {
			t.row(p.Pool, p.Owner, p.Endpoints, resources(p.Free), resources(p.Total), p.Waiting)
		}
		t.row()
		t.row("TEMPLATE", "QUEUED", "RUNNING", "OLDEST WAIT", "PAUSED")
		for _, m := range s.Templates {
			t.row(m.Template, m.Queued, m.Running, time.Duration(m.OldestWaitMS)*time.Millisecond, m.Paused)
		}
	})
}

func memberState(m gateway.MemberStatus) string {
	switch {
	case !m.Reachable:
		return "unreachable"
	case !m.Ready:
		return "not ready"
	default:
		return "ready"
	}
}

func upDown(up bool) string {
	if up {
		return "up"
	}
	return "down"
}

func revisions(r map[string]uint64) string {
	var parts []string
	for _, name := range sortedKeys(r) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, r[name]))
	}
	return strings.Join(parts, " ")
}

// resources formats the fields that are not zero.
func resources(r model.Resources) string {
	var parts []string
	for _, f := range []struct {
		name  string
		value int64
	}{
		{"slots", r.Slots},
		{"cores_milli", r.CoresMilli},
		{"memory_mb", r.MemoryMB},
		{"accelerators", r.Accelerators},
	} {
		if f.value != 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", f.name, f.value))
		}
	}
	return strings.Join(parts, " ")
}

func (a *app) jobsCommand() *cobra.Command {
	var workspace, template, state string
	var limit int
	cmd := &cobra.Command{
		Use:   "jobs",
		Short: "List jobs",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.jobs(cmd.Context(), url.Values{
				"workspace": {workspace}, "template": {template}, "state": {state}, "limit": {strconv.Itoa(limit)},
			})
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&workspace, "workspace", "", "only of this workspace")
	flags.StringVar(&template, "template", "", "only of this template")
	flags.StringVar(&state, "state", "", "only queued, running or done")
	flags.IntVar(&limit, "limit", gateway.DefaultJobs, "maximum number of jobs to list")
	return cmd
}

func (a *app) jobs(ctx context.Context, query url.Values) error {
	var list gateway.JobList
	if err := a.fetch(ctx, call{method: "GET", path: "/v1/jobs", query: query}, &list); err != nil {
		return err
	}
	return a.print(list, func(t *table) {
		t.row("TEMPLATE", "ID", "STATE", "OUTCOME", "REASON", "TASKS", "ATTEMPTS", "SUBMITTED")
		for _, j := range list.Jobs {
			t.row(j.Key.Template, j.Key.ID, j.State, j.Outcome, j.Reason,
				fmt.Sprintf("%d/%d", j.Running, j.Tasks), j.Attempts, j.SubmittedAt.Format(time.RFC3339Nano))
		}
	})
}

func (a *app) timelineCommand() *cobra.Command {
	var request string
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Show the merged event timeline",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.timeline(cmd.Context(), request)
		},
	}
	cmd.Flags().StringVar(&request, "request", "", "only events of this request identifier")
	return cmd
}

func (a *app) timeline(ctx context.Context, request string) error {
	var list gateway.EventList
	query := url.Values{}
	if request != "" {
		query.Set("request", request)
	}
	if err := a.fetch(ctx, call{method: "GET", path: "/v1/timeline", query: query}, &list); err != nil {
		return err
	}
	return a.print(list, func(t *table) {
		t.row("TIME", "PROCESS", "PART", "EVENT", "REQUEST", "ATTEMPT", "DETAIL")
		for _, e := range list.Events {
			t.row(e.Time, e.Process, e.Part, e.Name, e.Request, e.Attempt, e.Detail)
		}
	})
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
