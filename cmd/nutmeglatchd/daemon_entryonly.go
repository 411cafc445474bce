//go:build entryonly

package main

import (
	"context"
	"fmt"
	"io"
)

// runDaemon reports a usage error. This build contains only the platform's entry
// command, because the process starts faster without the packages of the daemon
// that is configured by a settings file.
func runDaemon(_ context.Context, _ []string, _, stderr io.Writer) int {
	fmt.Fprintf(stderr, "nutmeglatchd: built with the tag entryonly, which has the command %q only\n", entryCommand)
	return exitUsage
}
