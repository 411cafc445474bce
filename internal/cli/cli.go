// Package cli implements the operators' command line tool.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/nutmeglatch/nutmeglatch/internal/buildinfo"
)

// Exit statuses of the commands.
const (
	ExitOK     = 0
	ExitFailed = 1 // the command failed, or completed with a bad result
	ExitUsage  = 2 // bad arguments, settings or documents
)

// exitError is an error with an exit status. The message is empty when the output
// of the command already states the failure.
type exitError struct {
	status  int
	message string
}

func (e *exitError) Error() string { return e.message }

func usageError(format string, args ...any) error {
	return &exitError{status: ExitUsage, message: fmt.Sprintf(format, args...)}
}

// tool holds the output streams of the commands.
type tool struct {
	stdout, stderr io.Writer
}

// Run executes the command line in args and returns the exit status.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	t := &tool{stdout: stdout, stderr: stderr}
	root := t.root()
	err := root.ParseAndRun(ctx, args)
	var exit *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		if len(args) == 0 {
			return ExitUsage
		}
		return ExitOK
	case errors.As(err, &exit):
		if exit.message != "" {
			fmt.Fprintf(stderr, "nutmeglatch: %s\n", exit.message)
		}
		return exit.status
	default:
		fmt.Fprintf(stderr, "nutmeglatch: %v\n", err)
		return ExitUsage
	}
}

func (t *tool) flagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(t.stderr)
	return fs
}

func (t *tool) root() *ffcli.Command {
	return &ffcli.Command{
		Name:       "nutmeglatch",
		ShortUsage: "nutmeglatch <command> [flags] [arguments]",
		ShortHelp:  "Checks, observes and demonstrates nutmeglatch.",
		FlagSet:    t.flagSet("nutmeglatch"),
		Subcommands: []*ffcli.Command{
			t.checkCommand(),
			t.statusCommand(),
			t.explainCommand(),
			t.whereCommand(),
			t.replayCommand(),
			t.demoCommand(),
			t.loadCommand(),
			t.versionCommand(),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("unknown command %q; see nutmeglatch --help", args[0])
			}
			return flag.ErrHelp
		},
	}
}

func (t *tool) versionCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "nutmeglatch version",
		ShortHelp:  "Prints the version.",
		FlagSet:    t.flagSet("nutmeglatch version"),
		Exec: func(context.Context, []string) error {
			fmt.Fprintln(t.stdout, "nutmeglatch", buildinfo.Version())
			return nil
		},
	}
}
