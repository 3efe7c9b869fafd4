package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/agateyard/agateyard/internal/gateway"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/settings"
	"github.com/agateyard/agateyard/internal/template"
)

func (a *app) templateCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "template",
		Short: "Validate, apply and read the templates of a workspace",
		Args:  usageArgs(cobra.NoArgs),
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(a.validateCommand(), a.applyCommand(), a.getCommand(), a.listCommand(), a.historyCommand())
	return cmd
}

func (a *app) validateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE...",
		Short: "Check template files without a server; - reads standard input",
		Args:  usageArgs(cobra.MinimumNArgs(1)),
		RunE:  func(_ *cobra.Command, files []string) error { return a.validate(files) },
	}
}

// validated is the JSON output of template validate.
type validated struct {
	Valid    bool               `json:"valid"`
	Findings []settings.Finding `json:"findings"`
}

func (a *app) validate(files []string) error {
	all := settings.Findings{}
	for _, file := range files {
		_, err := a.parse(file)
		var findings settings.Findings
		switch {
		case errors.As(err, &findings):
			all = append(all, findings...)
		case err != nil:
			return err
		}
	}
	err := a.print(validated{Valid: len(all) == 0, Findings: all}, func(t *table) {
		if len(all) == 0 {
			t.row("valid")
		}
	})
	if err != nil || len(all) == 0 {
		return err
	}
	return all
}

// parse reads and checks a template file.
func (a *app) parse(file string) (template.Document, error) {
	src, err := a.read(file)
	if err != nil {
		return template.Document{}, &usageError{err}
	}
	return template.Parse(file, src)
}

func (a *app) read(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(io.LimitReader(a.in, template.MaxSourceBytes+1))
	}
	return os.ReadFile(file)
}

func (a *app) applyCommand() *cobra.Command {
	var note string
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Put the templates of a file in force; - reads standard input",
		Long: "Put the templates of a file in force. The file replaces all templates of its workspace.\n" +
			"With --if-revision the change is refused unless that revision is in force; without it,\n" +
			"the revision that is in force when the command starts counts.",
		Args: usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.apply(cmd.Context(), args[0], note)
		},
	}
	a.changeFlags(cmd)
	cmd.Flags().StringVar(&note, "note", "", "remark for the history")
	return cmd
}

func (a *app) apply(ctx context.Context, file, note string) error {
	doc, err := a.parse(file)
	if err != nil {
		return err
	}
	id, err := a.changeID()
	if err != nil {
		return err
	}
	c, limited, cancel, err := a.client(ctx)
	defer cancel()
	if err != nil {
		return err
	}
	path := workspacePath(doc.Workspace)
	revision := uint64(max(a.base, 0))
	if a.base < 0 {
		if revision, err = c.revision(limited, path); err != nil {
			return err
		}
	}
	applied, err := c.change(limited, call{
		method: "PUT", path: path, body: doc.Source, media: "application/toml",
		headers: map[string]string{gateway.HeaderAuthor: a.author, gateway.HeaderNote: note},
	}, id, revision)
	if err != nil {
		return err
	}
	return a.finish(ctx, c, applied)
}

func workspacePath(workspace string) string {
	return "/v1/config/workspaces/" + url.PathEscape(workspace)
}

// revision returns the revision of a workspace document, 0 without one.
func (c *client) revision(ctx context.Context, path string) (uint64, error) {
	var doc gateway.WorkspaceDocument
	err := c.do(ctx, call{method: "GET", path: path}, &doc)
	var p *gateway.Problem
	if errors.As(err, &p) && p.Status == 404 && p.Reason != "" {
		return 0, nil
	}
	return doc.Revision, err
}

func (a *app) getCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "get WORKSPACE",
		Short: "Print the template file in force",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.get(cmd.Context(), args[0])
		},
	}
}

func (a *app) get(ctx context.Context, workspace string) error {
	var doc gateway.WorkspaceDocument
	if err := a.fetch(ctx, call{method: "GET", path: workspacePath(workspace)}, &doc); err != nil {
		return err
	}
	if a.output == outputJSON {
		return a.print(doc, nil)
	}
	if doc.Cached {
		_, _ = fmt.Fprintln(a.err, "agateyardctl: the store did not answer; this is what the process has in force")
	}
	_, err := io.WriteString(a.out, doc.Source)
	return err
}

// fetch makes one call within the time limit of the command.
func (a *app) fetch(ctx context.Context, request call, into any) error {
	c, ctx, cancel, err := a.client(ctx)
	defer cancel()
	if err != nil {
		return err
	}
	return c.do(ctx, request, into)
}

func (a *app) listCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list [WORKSPACE]",
		Short: "List the templates in force",
		Args:  usageArgs(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.list(cmd.Context(), args)
		},
	}
}

func (a *app) list(ctx context.Context, only []string) error {
	var list gateway.WorkspaceList
	if err := a.fetch(ctx, call{method: "GET", path: "/v1/config/workspaces"}, &list); err != nil {
		return err
	}
	if len(only) > 0 {
		kept := []gateway.WorkspaceSummary{}
		for _, w := range list.Workspaces {
			if w.Workspace == only[0] {
				kept = append(kept, w)
			}
		}
		list.Workspaces = kept
	}
	return a.print(list, func(t *table) {
		t.row("WORKSPACE", "REVISION", "TEMPLATE", "KIND", "URGENCY", "MAX WAIT", "IDEMPOTENT", "FLOOD SHARE", "RESERVE")
		for _, w := range list.Workspaces {
			for _, m := range w.Templates {
				templateRow(t, w, m)
			}
		}
	})
}

func templateRow(t *table, w gateway.WorkspaceSummary, m model.Template) {
	t.row(w.Workspace, w.Revision, m.ID.Name, m.Kind, m.Urgency, m.MaxWait, m.Idempotent, m.FloodShare, m.Reserve)
}

func (a *app) historyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "history WORKSPACE",
		Short: "List the last revisions of the templates",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.history(cmd.Context(), args[0])
		},
	}
}

func (a *app) history(ctx context.Context, workspace string) error {
	var answer gateway.HistoryResponse
	if err := a.fetch(ctx, call{method: "GET", path: workspacePath(workspace) + "/history"}, &answer); err != nil {
		return err
	}
	return a.print(answer, func(t *table) {
		t.row("REVISION", "AT", "AUTHOR", "NOTE")
		for _, d := range answer.Revisions {
			t.row(d.Revision, d.At.Format(time.RFC3339), d.Author, d.Note)
		}
	})
}
