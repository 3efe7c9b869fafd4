// Package ctl implements agateyardctl, the operator's command line.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/agateyard/agateyard/internal/gateway"
	"github.com/agateyard/agateyard/internal/settings"
)

// Environment variables that set defaults of flags.
const (
	envServer = "AGATEYARD_SERVER"
	envAuthor = "AGATEYARD_AUTHOR"
)

// Limits of time, as defaults of flags.
const (
	defaultTimeout     = 20 * time.Second
	defaultWaitTimeout = 30 * time.Second
)

// The output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// app holds the flags and streams of one run.
type app struct {
	in       io.Reader
	out, err io.Writer
	server   string
	output   string
	author   string
	timeout  time.Duration
	change   string
	base     int64 // value of --if-revision; negative where not given
	wait     bool
	waitFor  time.Duration
}

// Run runs one command line and returns the exit code. Results go to out, errors
// to errOut.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) ExitCode {
	a := &app{in: in, out: out, err: errOut}
	root := a.root()
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err != nil {
		a.printError(err)
	}
	return exitCode(err)
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:           "agateyardctl",
		Short:         "Operate an agateyard cell",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          usageArgs(cobra.NoArgs),
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if a.output != outputTable && a.output != outputJSON {
				return &usageError{fmt.Errorf("--output must be table or json, not %q", a.output)}
			}
			return nil
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err} })
	flags := root.PersistentFlags()
	flags.StringVar(&a.server, "server", envOr(envServer, "http://127.0.0.1:8080"), "URL of an entry process or its load balancer")
	flags.StringVarP(&a.output, "output", "o", outputTable, "table or json")
	flags.DurationVar(&a.timeout, "timeout", defaultTimeout, "time limit of the command, without --wait")
	root.AddCommand(a.templateCommand(), a.drainCommand(), a.undrainCommand(), a.pauseCommand(), a.resumeCommand(),
		a.drainsCommand(), a.statusCommand(), a.jobsCommand(), a.timelineCommand())
	return root
}

// changeFlags adds the flags of commands that change the configuration.
func (a *app) changeFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&a.author, "author", defaultAuthor(), "who makes the change")
	flags.Int64Var(&a.base, "if-revision", -1, "revision that the change is based on, 0 for a new document; the one in force where not given")
	flags.StringVar(&a.change, "change", "", "identifier of an earlier change whose outcome was not known; requires --if-revision")
	flags.BoolVar(&a.wait, "wait", false, "wait until every member of the cell has the revision in force")
	flags.DurationVar(&a.waitFor, "wait-timeout", defaultWaitTimeout, "time limit of --wait")
}

// changeID returns the identifier for a change of this run. An identifier from
// an earlier run needs the revision of that run as well: on a newer revision, a
// change that the document no longer lists would be applied a second time.
func (a *app) changeID() (string, error) {
	switch {
	case a.change == "":
		return uuid.NewString(), nil
	case a.base < 0:
		return "", &usageError{errors.New("--change requires --if-revision")}
	default:
		return a.change, nil
	}
}

// client returns the client and a context with the time limit of the command.
func (a *app) client(ctx context.Context) (*client, context.Context, context.CancelFunc, error) {
	c, err := newClient(a.server)
	if err != nil {
		return nil, ctx, func() {}, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	return c, ctx, cancel, nil
}

// finish prints the applied change and, with --wait, waits for the cell.
func (a *app) finish(ctx context.Context, c *client, applied gateway.AppliedChange) error {
	if a.wait {
		if err := a.waitInForce(ctx, c, applied); err != nil {
			return err
		}
	}
	return a.print(applied, func(t *table) {
		t.row("DOCUMENT", "REVISION", "IN FORCE EVERYWHERE")
		state := "not waited for"
		if a.wait {
			state = "yes"
		}
		t.row(applied.Document, applied.Revision, state)
	})
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

func defaultAuthor() string {
	if v := os.Getenv(envAuthor); v != "" {
		return v
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// usageArgs makes a wrong number of arguments a usage error.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return &usageError{err}
		}
		return nil
	}
}

// printError prints an error with what belongs to it.
func (a *app) printError(err error) {
	var findings settings.Findings
	if errors.As(err, &findings) {
		_, _ = fmt.Fprintf(a.err, "%v\nagateyardctl: %d faults\n", findings, len(findings))
		return
	}
	var p *gateway.Problem
	if !errors.As(err, &p) {
		_, _ = fmt.Fprintf(a.err, "agateyardctl: %v\n", err)
		return
	}
	for _, f := range p.Findings {
		_, _ = fmt.Fprintln(a.err, f.String())
	}
	_, _ = fmt.Fprintf(a.err, "agateyardctl: %v\n", p)
	if p.Conflict == nil {
		return
	}
	c := p.Conflict
	_, _ = fmt.Fprintf(a.err, "revision in force: %d, by %s at %s\n", c.InForce, c.Author, c.At.Format(time.RFC3339))
	if c.Difference != "" {
		_, _ = fmt.Fprintf(a.err, "difference (- in force, + yours):\n%s", c.Difference)
	}
}
