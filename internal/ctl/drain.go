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

// drainsPath is the path of the cell document.
const drainsPath = "/v1/config/drains"

// cellTries bounds how often an edit of the cell is based on a newer revision
// after other operators were first.
const cellTries = 20

func (a *app) drainCommand() *cobra.Command {
	var reason string
	cmd := &cobra.Command{
		Use:   "drain VM...",
		Short: "Give VMs no new work; running work continues",
		Args:  usageArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, vms []string) error {
			if reason == "" {
				return &usageError{errors.New("--reason is required")}
			}
			return a.editCell(cmd.Context(), configstore.CellEdit{Drain: vms, Reason: reason})
		},
	}
	a.changeFlags(cmd)
	cmd.Flags().StringVar(&reason, "reason", "", "why (required)")
	return cmd
}

func (a *app) undrainCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "undrain VM...",
		Short: "Let VMs take work again",
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
		Short: "Refuse new requests of templates",
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
		Short: "Accept requests of paused templates again",
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

// editCell applies an edit to the cell document. An edit names what it changes
// and nothing else, so that it may follow any other: a conflict makes it start
// from the revision in force. It keeps its identifier, since a conflict means
// that it was not applied.
func (a *app) editCell(ctx context.Context, edit configstore.CellEdit) error {
	body, err := json.Marshal(edit)
	if err != nil {
		return err
	}
	c, limited, cancel, err := a.client(ctx)
	defer cancel()
	if err != nil {
		return err
	}
	id, err := a.changeID()
	if err != nil {
		return err
	}
	revision := a.base
	for try := 1; ; try++ {
		applied, err := a.editOnce(limited, c, body, id, revision)
		if err == nil {
			return a.finish(ctx, c, applied)
		}
		if try == cellTries || !settledConflict(err) {
			return err
		}
		revision = -1
	}
}

func settledConflict(err error) bool {
	var p *gateway.Problem
	return errors.As(err, &p) && p.Conflict != nil && !p.Conflict.Unsettled
}

// editOnce bases the edit on the revision, or on the one in force where it is
// negative.
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
		method: "POST", path: drainsPath, body: body, media: "application/json",
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
