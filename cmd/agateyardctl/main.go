// Command agateyardctl is the operator's command-line tool. It validates, applies and
// pauses templates, drains VMs, and shows the status, the jobs and the event timeline
// of a cell.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/agateyard/agateyard/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}
