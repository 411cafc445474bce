package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/nutmeglatch/nutmeglatch/internal/replay"
)

func (t *tool) replayCommand() *ffcli.Command {
	fs := t.flagSet("nutmeglatch replay")
	asJSON := fs.Bool("json", false, "print the results as JSON")
	return &ffcli.Command{
		Name:       "replay",
		ShortUsage: "nutmeglatch replay [flags] <trace or directory>...",
		ShortHelp:  "Plays traces and compares what happens with what they allow.",
		LongHelp:   "The exit status is 1 when a trace failed and 2 when one cannot be parsed.",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return flag.ErrHelp
			}
			return t.replay(args, *asJSON)
		},
	}
}

// replayReport is the output of replay --json.
type replayReport struct {
	Traces []replay.Result `json:"traces"`
	Passed int             `json:"passed"`
	Failed int             `json:"failed"`
}

func (t *tool) replay(paths []string, asJSON bool) error {
	traces, err := loadTraces(paths)
	if err != nil {
		return usageError("%v", err)
	}
	report := replayReport{Traces: []replay.Result{}}
	for _, trace := range traces {
		r := replay.Play(trace)
		report.Traces = append(report.Traces, r)
		if r.Passed {
			report.Passed++
		} else {
			report.Failed++
		}
		if !asJSON {
			t.printResult(&r)
		}
	}
	if err := t.printReport(&report, asJSON); err != nil {
		return err
	}
	if report.Failed > 0 {
		return &exitError{status: ExitFailed}
	}
	return nil
}

// loadTraces parses all traces, so that an invalid one is reported before any is
// replayed.
func loadTraces(paths []string) ([]*replay.Trace, error) {
	files, err := replay.Files(paths)
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("no traces in %v; allowed: .yaml files and directories that contain some", paths)
	}
	traces := make([]*replay.Trace, len(files))
	for i, f := range files {
		if traces[i], err = replay.Load(f); err != nil {
			return nil, err
		}
	}
	return traces, nil
}

// printResult prints one line for a trace, with the expected outcomes that were not
// met.
func (t *tool) printResult(r *replay.Result) {
	verdict, failures := "passed", ""
	if !r.Passed {
		verdict, failures = "FAILED", "; "+strings.Join(r.Failures, "; ")
	}
	fmt.Fprintf(t.stdout, "%s %s: flows %d, completed %d, broken %d; commands %d, answered %d, not run %d, unknown %d%s\n",
		verdict, r.Trace, r.Flows, r.FlowsCompleted, r.Broken.Total(), r.Commands, r.CommandsAnswered, r.CommandsNotRun, r.CommandsUnknown, failures)
}

func (t *tool) printReport(r *replayReport, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(t.stdout)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	_, err := fmt.Fprintf(t.stdout, "%d passed, %d failed\n", r.Passed, r.Failed)
	return err
}
