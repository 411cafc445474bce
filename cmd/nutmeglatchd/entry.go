package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/peterbourgon/ff/v3"

	"github.com/nutmeglatch/nutmeglatch/internal/cli"
	"github.com/nutmeglatch/nutmeglatch/internal/entry"
	"github.com/nutmeglatch/nutmeglatch/platform"
)

// entryCommand runs an entry host on the users' platform.
const entryCommand = "entry"

// entryGCPercent keeps the heap of an entry host near its live size, which is a few hundred kilobytes.
const entryGCPercent = 30

// runEntry serves with the settings file that the platform names in the environment.
func runEntry(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("nutmeglatchd "+entryCommand, flag.ContinueOnError)
	fs.SetOutput(stderr)
	logLevel := fs.String("log-level", "info", "debug, info, warn or error")
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("NUTMEGLATCHD"))
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		fmt.Fprintf(stderr, "nutmeglatchd %s: %v\n", entryCommand, err)
		return exitUsage
	}
	settings, err := platform.LoadSettings(os.Getenv)
	if err != nil {
		fmt.Fprintf(stderr, "nutmeglatchd %s: %v\n", entryCommand, err)
		return exitUsage
	}
	debug.SetGCPercent(entryGCPercent)
	queue := entry.NewLogQueue(stdout)
	defer queue.Close()
	logger := log.NewLogfmtLogger(queue)
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(*logLevel, level.InfoValue())))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC)
	store := platform.NewStore(settings, logger)
	host := entry.New(settings.HostConfig(cli.Version()), platform.Codec{}, store, logger)
	if err := host.Run(ctx); err != nil {
		return exitFailed
	}
	return exitOK
}
