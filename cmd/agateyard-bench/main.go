// Command agateyard-bench measures the control-plane overhead of a cell of real
// processes on the loopback interface.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/agateyard/agateyard/internal/bench"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := bench.Command().ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "agateyard-bench: %v\n", err)
		os.Exit(1)
	}
}
