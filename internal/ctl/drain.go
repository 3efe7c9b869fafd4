package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/agateyard/agateyard/internal/configstore"
	"github.com/agateyard/agateyard/internal/gateway"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/settings"
)

// drainsPath is the API path of the cell document.
const drainsPath = "/v1/config/drains"

// maxEditAttempts limits the attempts to apply an edit of the cell document when
// changes of other operators conflict with it.
const maxEditAttempts = 20

func (a *app) drainCommand() *cobra.Command {
	var reason string
	cmd := &cobra.Command{
		Use:   "drain VM...",
		Short: "Stop placing new work on VMs; running work continues",
		Args:  usageArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, vms []string) error {
			if reason == "" {
				return &usageError{errors.New("--reason is required")}
			}
			return a.editCell(cmd.Context(), configstore.CellEdit{Drain: vms, Reason: reason})
		},
	}
	a.changeFlags(cmd)
	cmd.Flags().StringVar(&reason, "reason", "", "reason for the drain (required)")
	return cmd
}

func (a *app) undrainCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "undrain VM...",
		Short: "Allow new work on drained VMs again",
		Args:  usageArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, vms []string) error {
			return a.editCell(cmd.Context(), configstore.CellEdit{Undrain: vms})
		},
	}
	a.changeFlags(cmd)
	return cmd
}

func (a *app) pauseCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "pause WORKSPACE/TEMPLATE...",
		Short: "Refuse new requests for templates",
		Args:  usageArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			ids, err := templateIDs(args)
			if err != nil {
				return err
			}
			return a.editCell(cmd.Context(), configstore.CellEdit{Pause: ids})
		},
	}
	a.changeFlags(cmd)
	return cmd
}

func (a *app) resumeCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "resume WORKSPACE/TEMPLATE...",
		Short: "Accept requests for paused templates again",
		Args:  usageArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			ids, err := templateIDs(args)
			if err != nil {
				return err
			}
			return a.editCell(cmd.Context(), configstore.CellEdit{Resume: ids})
		},
	}
	a.changeFlags(cmd)
	return cmd
}

func templateIDs(args []string) ([]model.TemplateID, error) {
	ids := make([]model.TemplateID, len(args))
	for i, arg := range args {
		workspace, name, _ := strings.Cut(arg, "/")
		if !settings.ValidName(workspace) || !settings.ValidName(name) {
			return nil, &usageError{fmt.Errorf("%q is not of the form workspace/template", arg)}
		}
		ids[i] = model.TemplateID{Workspace: workspace, Name: name}
	}
	return ids, nil
}

// editCell applies an edit to the cell document. An edit contains only what it
// changes, so it can be applied on top of any other edit: after a conflict it is
// retried on the revision in force. It keeps its identifier, because a conflict means
// that it was not applied.
func (a *app) editCell(ctx context.Context, edit configstore.CellEdit) error {
	body, err := json.Marshal(edit)
	if err != nil {
		return err
	}
	c, timeoutCtx, cancel, err := a.client(ctx)
	defer cancel()
	if err != nil {
		return err
	}
	id, err := a.changeID()
	if err != nil {
		return err
	}
	revision := a.ifRevision
	for attempt := 1; ; attempt++ {
		applied, err := a.editOnce(timeoutCtx, c, body, id, revision)
		if err == nil {
			return a.finish(ctx, c, applied)
		}
		if attempt == maxEditAttempts || !isRetryableConflict(err) {
			return err
		}
		revision = -1
	}
}

// isRetryableConflict reports whether the error is a conflict after which the change
// is known not to have been applied.
func isRetryableConflict(err error) bool {
	var p *gateway.Problem
	return errors.As(err, &p) && p.Conflict != nil && !p.Conflict.Unsettled
}

// editOnce applies the edit on top of the revision, or of the revision in force if
// revision is negative.
func (a *app) editOnce(ctx context.Context, c *client, body []byte, id string, revision int64) (gateway.AppliedChange, error) {
	base := uint64(max(revision, 0))
	if revision < 0 {
		var current gateway.CellDocument
		if err := c.do(ctx, call{method: "GET", path: drainsPath}, &current); err != nil {
			return gateway.AppliedChange{}, err
		}
		base = current.Revision
	}
	return c.change(ctx, call{
		method: "POST", path: drainsPath, body: body, contentType: "application/json",
		headers: map[string]string{gateway.HeaderAuthor: a.author},
	}, id, base)
}

func (a *app) drainsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "drains",
		Short: "List drained VMs and paused templates",
		Args:  usageArgs(cobra.NoArgs),
		RunE:  func(cmd *cobra.Command, _ []string) error { return a.drains(cmd.Context()) },
	}
}

func (a *app) drains(ctx context.Context) error {
	var cell gateway.CellDocument
	if err := a.fetch(ctx, call{method: "GET", path: drainsPath}, &cell); err != nil {
		return err
	}
	return a.print(cell, func(t *table) {
		t.row("DRAINED OR PAUSED", "AT", "BY", "REASON")
		for _, vm := range sortedKeys(cell.Drained) {
			d := cell.Drained[vm]
			t.row(vm, d.At.Format(time.RFC3339), d.By, d.Reason)
		}
		for _, id := range cell.Paused {
			t.row(id, "", "", "template paused")
		}
	})
}
