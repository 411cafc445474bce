// Command nutmeglatch is the operators' command line tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/nutmeglatch/nutmeglatch/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	status := cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
