//go:build entryonly

package main

import (
	"context"
	"fmt"
	"io"
)

// runDaemon reports a usage error: this build has the platform's interface only,
// since a host starts sooner without the other one.
func runDaemon(_ context.Context, _ []string, _, stderr io.Writer) int {
	fmt.Fprintf(stderr, "nutmeglatchd: built with the tag entryonly, which has the command %q only\n", entryCommand)
	return exitUsage
}
