// Command nutmeglatchd is the load balancer process of an entry host.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == entryCommand {
		return runEntry(ctx, args[1:], stdout, stderr)
	}
	return runDaemon(ctx, args, stdout, stderr)
}
