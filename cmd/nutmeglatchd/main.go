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
	// SIGHUP is received until the process has ended, because its default action ends the process. The channel is never
	// passed to signal.Stop.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, hangups, os.Args[1:], os.Stdout, os.Stderr))
}

// run runs the command that the arguments name and returns the exit status. The entry command reads its settings again for
// each element of hangups; the daemon with a settings file of its own ignores them.
func run(ctx context.Context, hangups <-chan os.Signal, args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == entryCommand {
		return runEntry(ctx, hangups, args[1:], stdout, stderr)
	}
	return runDaemon(ctx, args, stdout, stderr)
}
