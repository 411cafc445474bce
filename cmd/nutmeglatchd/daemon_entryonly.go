//go:build entryonly

package main

import (
	"context"
	"fmt"
	"io"
)

// runDaemon refuses: this build serves with the platform's interface only. Without the rest a host starts sooner.
func runDaemon(_ context.Context, _ []string, _, stderr io.Writer) int {
	fmt.Fprintf(stderr, "nutmeglatchd: built with the tag entryonly, which has the command %q only\n", entryCommand)
	return exitUsage
}
