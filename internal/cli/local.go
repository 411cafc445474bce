package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/nutmeglatch/nutmeglatch/examples"
	"github.com/nutmeglatch/nutmeglatch/internal/check"
	"github.com/nutmeglatch/nutmeglatch/internal/demo"
)

// defaultDemoFor is long enough for every event of the demo to take effect.
const defaultDemoFor = 20 * time.Second

// checkResult is the result of checking one path, as printed in JSON.
type checkResult struct {
	Path   string        `json:"path"`
	Kind   check.Kind    `json:"kind"`
	Faults []check.Fault `json:"faults"`
	Error  string        `json:"error,omitempty"`
}

func (t *tool) checkCommand() *ffcli.Command {
	fs := t.flagSet("nutmeglatch check")
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "nutmeglatch check [--json] FILE|DIRECTORY ...",
		ShortHelp:  "Checks settings, service documents, data centre state and host lists.",
		LongHelp:   "The exit status is 2 when a file has faults or cannot be read.",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usageError("check needs a file or a directory")
			}
			return t.check(args, *asJSON)
		},
	}
}

func (t *tool) check(paths []string, asJSON bool) error {
	results := make([]checkResult, 0, len(paths))
	bad := false
	for _, path := range paths {
		kind, faults, err := check.Check(path)
		r := checkResult{Path: path, Kind: kind, Faults: faults}
		if err != nil {
			r.Error = err.Error()
		}
		bad = bad || err != nil || len(faults) > 0
		results = append(results, r)
	}
	if asJSON {
		if err := t.printJSON(results); err != nil {
			return err
		}
	} else {
		t.printCheck(results)
	}
	if bad {
		return &exitError{status: ExitUsage}
	}
	return nil
}

func (t *tool) printCheck(results []checkResult) {
	for _, r := range results {
		switch {
		case r.Error != "":
			fmt.Fprintf(t.stderr, "%s: %s\n", r.Path, r.Error)
		case len(r.Faults) == 0:
			fmt.Fprintf(t.stdout, "%s: %s is valid\n", r.Path, r.Kind)
		}
		for _, f := range r.Faults {
			fmt.Fprintln(t.stderr, f)
		}
	}
}

func (t *tool) demoCommand() *ffcli.Command {
	fs := t.flagSet("nutmeglatch demo")
	cfg := demo.Config{Files: examples.FS}
	fs.DurationVar(&cfg.For, "for", defaultDemoFor, "length of the run, "+demo.MinDuration.String()+" to "+demo.MaxDuration.String())
	fs.StringVar(&cfg.Deployment, "deployment", examples.Names[0], "one of "+fmt.Sprint(examples.Names))
	fs.Uint64Var(&cfg.Seed, "seed", 1, "seed of the callers and of the fabric")
	fs.IntVar(&cfg.FlowsPerSecond, "flows", 60, "new flows per second, 1 to 2000")
	fs.IntVar(&cfg.CommandsPerSecond, "commands", 20, "commands per second, 1 to 500")
	network := fs.Uint("network", 0, "second byte of the loopback addresses, 2 to 254; 0 derives it from the process id")
	verbose := fs.Bool("verbose", false, "print the daemons' logs")
	asJSON := fs.Bool("json", false, "print the report as JSON")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "nutmeglatch demo [--for 20s] [--deployment NAME] [--seed N] [--json]",
		ShortHelp:  "Runs a deployment on loopback while everything changes, and reports what broke.",
		LongHelp:   "The exit status is 1 when a promise was broken.",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("demo takes no argument, got %q", args[0])
			}
			if err := checkDemo(&cfg, *network); err != nil {
				return err
			}
			cfg.Network = demoNetwork(*network)
			cfg.Logger = log.NewLogfmtLogger(log.NewSyncWriter(t.stderr))
			cfg.DaemonLogger = log.NewNopLogger()
			if *verbose {
				cfg.DaemonLogger = cfg.Logger
			}
			return t.demo(ctx, cfg, *asJSON)
		},
	}
}

func checkDemo(cfg *demo.Config, network uint) error {
	switch {
	case cfg.For < demo.MinDuration || cfg.For > demo.MaxDuration:
		return usageError("--for %s: want %s to %s", cfg.For, demo.MinDuration, demo.MaxDuration)
	case cfg.FlowsPerSecond < 1 || cfg.FlowsPerSecond > 2000:
		return usageError("--flows %d: want 1 to 2000", cfg.FlowsPerSecond)
	case cfg.CommandsPerSecond < 1 || cfg.CommandsPerSecond > 500:
		return usageError("--commands %d: want 1 to 500", cfg.CommandsPerSecond)
	case network != 0 && (network < 2 || network > 254):
		return usageError("--network %d: want 2 to 254", network)
	}
	for _, name := range examples.Names {
		if name == cfg.Deployment {
			return nil
		}
	}
	return usageError("--deployment %q: want one of %v", cfg.Deployment, examples.Names)
}

// demoNetwork returns the second byte of the loopback addresses. When network is
// 0, the byte is derived from the process id, so that concurrent runs use different
// addresses.
func demoNetwork(network uint) byte {
	if network != 0 {
		return byte(network)
	}
	return byte(100 + os.Getpid()%100)
}

func (t *tool) demo(ctx context.Context, cfg demo.Config, asJSON bool) error {
	report, err := demo.Run(ctx, cfg)
	if errors.Is(err, context.Canceled) {
		level.Info(cfg.Logger).Log("msg", "interrupted")
		return nil
	}
	if err != nil {
		return &exitError{status: ExitFailed, message: err.Error()}
	}
	if err := t.print(report, asJSON, func(w io.Writer) { printReport(w, report) }); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return &exitError{status: ExitFailed}
	}
	return nil
}

func printReport(w io.Writer, r *demo.Report) {
	fmt.Fprintf(w, "%s: %d flows, %d broken %v, %d not opened\n", r.Deployment, r.Flows, r.BrokenFlows, r.BrokenFlowsByCause, r.FlowsNotOpened)
	fmt.Fprintf(w, "%d commands %v, %d run twice, %d false \"not run\"\n", r.Commands, r.CommandsByOutcome, r.CommandsRunTwice, r.FalseNotRun)
	fmt.Fprintf(w, "%d packets to a wrong service, %d over a limit, imbalance %.2f\n", r.WrongServicePackets, r.MaxOverLimit, r.Imbalance)
	fmt.Fprintf(w, "data centre out: %d late packets, served share %.4f; document in force everywhere after %d ms\n", r.PacketsAfterTakeout, r.ServedShareDuringMove, r.ConfigSpreadMS)
	for _, v := range r.Violations {
		fmt.Fprintln(w, "broken promise:", v)
	}
}
