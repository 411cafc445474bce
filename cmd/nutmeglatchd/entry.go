package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math"
	"net/netip"
	"os"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/peterbourgon/ff/v3"

	"github.com/nutmeglatch/nutmeglatch/internal/buildinfo"
	"github.com/nutmeglatch/nutmeglatch/internal/entry"
	"github.com/nutmeglatch/nutmeglatch/internal/settings"
	"github.com/nutmeglatch/nutmeglatch/platform"
)

// entryCommand runs an entry host on the users' platform.
const entryCommand = "entry"

// entryGCPercent keeps the heap of an entry host close to its live size, which is a few hundred kilobytes.
const entryGCPercent = 30

// runEntry runs an entry host with the settings file that the platform names in the environment, and returns the
// exit status.
func runEntry(ctx context.Context, hangups <-chan os.Signal, args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("nutmeglatchd "+entryCommand, flag.ContinueOnError)
	fs.SetOutput(stderr)
	limits := fs.String("limits", "", "`file` with limits in place of the defaults")
	metricsPort := fs.Uint("metrics-port", 0, "`port` for metrics and status beside the control address; 0 opens none")
	logLevel := fs.String("log-level", "info", "debug, info, warn or error")
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("NUTMEGLATCHD"))
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		fmt.Fprintf(stderr, "nutmeglatchd %s: %v\n", entryCommand, err)
		return exitUsage
	}
	if *metricsPort > math.MaxUint16 {
		fmt.Fprintf(stderr, "nutmeglatchd %s: --metrics-port %d: must be 0 to %d\n", entryCommand, *metricsPort, math.MaxUint16)
		return exitUsage
	}
	load := func() (*platform.Settings, entry.Config, error) {
		return loadEntry(*limits, uint16(*metricsPort))
	}
	platformSettings, config, err := load()
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
	host := entry.New(config, platform.Codec{}, platform.NewStore(platformSettings, logger), logger)
	r := &reloader{host: host, logger: logger, load: load, started: restartSettings(platformSettings, config.Limits)}
	go r.run(ctx, hangups)
	if err := host.Run(ctx); err != nil {
		return exitFailed
	}
	return exitOK
}

// loadEntry reads the platform's settings, and the limits file unless its path is empty.
func loadEntry(limits string, metricsPort uint16) (*platform.Settings, entry.Config, error) {
	platformSettings, err := platform.LoadSettings(os.Getenv)
	if err != nil {
		return nil, entry.Config{}, err
	}
	config := platformSettings.HostConfig(buildinfo.Version())
	if metricsPort != 0 {
		config.Metrics = netip.AddrPortFrom(config.Admin.Addr(), metricsPort)
	}
	if limits == "" {
		return platformSettings, config, nil
	}
	config.Limits, err = settings.LoadEntry(limits, config.Limits)
	return platformSettings, config, errors.Wrap(err, limits)
}
