//go:build !entryonly

package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/peterbourgon/ff/v3"

	"github.com/nutmeglatch/nutmeglatch/internal/buildinfo"
	"github.com/nutmeglatch/nutmeglatch/internal/daemon"
	"github.com/nutmeglatch/nutmeglatch/internal/settings"
)

// runDaemon runs an entry host that is configured by a settings file, in place of
// the platform's entry command, and returns the exit status.
func runDaemon(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("nutmeglatchd", flag.ContinueOnError)
	fs.SetOutput(stderr)
	path := fs.String("settings", "", "`file` with the settings of this entry host")
	version := fs.Bool("version", false, "print the version and exit")
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("NUTMEGLATCHD"))
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		fmt.Fprintf(stderr, "nutmeglatchd: %v\n", err)
		return exitUsage
	case *version:
		fmt.Fprintln(stdout, "nutmeglatchd", buildinfo.Version())
		return exitOK
	case fs.NArg() > 0:
		fmt.Fprintf(stderr, "nutmeglatchd: unexpected argument %q\n", fs.Arg(0))
		return exitUsage
	case *path == "":
		fmt.Fprintln(stderr, "nutmeglatchd: --settings FILE is required")
		return exitUsage
	}
	s, err := settings.Load(*path, os.Getenv)
	if err != nil {
		fmt.Fprintf(stderr, "nutmeglatchd: %s: %v\n", *path, err)
		return exitUsage
	}
	return serve(ctx, s, stderr)
}

func serve(ctx context.Context, s *settings.Settings, stderr io.Writer) int {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(stderr))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(s.LogLevel, level.InfoValue())))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC)
	d, err := daemon.New(daemon.Options{Settings: s, Version: buildinfo.Version(), Logger: logger})
	if err == nil {
		err = d.Run(ctx)
	}
	if err != nil {
		level.Error(logger).Log("part", "daemon", "msg", "stopped", "err", err)
		return exitFailed
	}
	return exitOK
}
