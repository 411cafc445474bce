package replay

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// maxNotes limits the notes about individual broken flows in a result.
const maxNotes = 10

// Result reports the outcome of a replay.
type Result struct {
	Trace               string      `json:"trace"`
	Passed              bool        `json:"passed"`
	Failures            []string    `json:"failures,omitempty"`
	Notes               []string    `json:"notes,omitempty"`
	Flows               int         `json:"flows"`
	FlowsCompleted      int         `json:"flows_completed"`
	FlowsRefused        int         `json:"flows_refused"`
	Broken              BrokenFlows `json:"broken_flows"`
	Requests            int         `json:"requests"`
	Answered            int         `json:"requests_answered"`
	Commands            int         `json:"commands"`
	CommandsAnswered    int         `json:"commands_answered"`
	CommandsNotRun      int         `json:"commands_not_run"`
	CommandsUnknown     int         `json:"commands_unknown"`
	CommandsUnanswered  int         `json:"commands_unanswered"`
	CommandsRunTwice    int         `json:"commands_run_twice"`
	FalseNotRun         int         `json:"false_not_run"`
	WrongAnswers        int         `json:"wrong_answers"`
	WrongServicePackets int         `json:"wrong_service_packets"`
	ConnectionsOver     int         `json:"connections_over_allowance"`
	SlotsOver           int         `json:"slots_over_allowance"`
	PacketsAfterOut     int         `json:"packets_after_out"`
	NewWorkAfterLeaving int         `json:"new_work_after_leaving"`
	Sheds               int         `json:"sheds"`
	Stops               int         `json:"graceful_stops"`
	UnfinishedAtStop    int         `json:"unfinished_at_stop"`
	VersionsReverted    int         `json:"versions_reverted"`
}

func (r *Result) note(line string) {
	if len(r.Notes) < maxNotes {
		r.Notes = append(r.Notes, line)
	}
}

func (o *Outcomes) outAfter() time.Duration {
	return cmp.Or(o.OutAfter.Std(), defaultOutAfter)
}

func (o *Outcomes) leavingAfter() time.Duration {
	return cmp.Or(o.LeavingAfter.Std(), defaultLeavingAfter)
}

// Play replays a trace and compares the result with the outcomes that the trace
// allows.
func Play(t *Trace) Result {
	f := newFleet(t)
	f.result.Trace = t.Name
	for i := range t.Events {
		e := &t.Events[i]
		f.clock.after(e.At.Std(), lane("event", 0), func() { actions[e.Action].run(f, e) })
	}
	f.clock.run(epoch.Add(t.Duration.Std()))
	f.countCommands()
	f.compare()
	for _, h := range f.hostOrder {
		h.end()
	}
	f.clock.stop()
	return f.result
}

// countCommands counts the commands by outcome, and the graceful stops that did
// not complete.
func (f *fleet) countCommands() {
	r := &f.result
	for _, c := range f.commands {
		switch c.outcome {
		case "answered":
			r.CommandsAnswered++
		case "not_run":
			r.CommandsNotRun++
			if c.starts > 0 {
				r.FalseNotRun++
			}
		case "unknown":
			r.CommandsUnknown++
		case "":
			r.CommandsUnanswered++
		}
		if c.starts > 1 && !c.idempotent {
			r.CommandsRunTwice++
		}
	}
	for _, h := range f.hostOrder {
		if h.stopping && h.running() {
			r.UnfinishedAtStop++
		}
	}
}

// compare appends a failure to the result for each outcome that the trace does
// not allow, and sets Passed.
func (f *fleet) compare() {
	r, o := &f.result, &f.trace.Outcomes
	atMost := func(name string, got, allowed int) {
		if got > allowed {
			r.Failures = append(r.Failures, fmt.Sprintf("%s: %d, at most %d allowed", name, got, allowed))
		}
	}
	atLeast := func(name string, got, required int) {
		if got < required {
			r.Failures = append(r.Failures, fmt.Sprintf("%s: %d, at least %d required", name, got, required))
		}
	}
	atMost("broken_flows.unexpected", r.Broken.Unexpected, o.BrokenFlows.Unexpected)
	atMost("broken_flows.data_centre_out", r.Broken.DataCentreOut, o.BrokenFlows.DataCentreOut)
	atMost("broken_flows.backend_server_ended", r.Broken.BackendEnded, o.BrokenFlows.BackendEnded)
	atMost("broken_flows.partition", r.Broken.Partition, o.BrokenFlows.Partition)
	atMost("wrong_service_packets", r.WrongServicePackets, o.WrongServicePackets)
	atMost("commands_run_twice", r.CommandsRunTwice, o.CommandsRunTwice)
	atMost("false_not_run", r.FalseNotRun, o.FalseNotRun)
	atMost("wrong_answers", r.WrongAnswers, o.WrongAnswers)
	atMost("connections_over_allowance", r.ConnectionsOver, o.ConnectionsOver)
	atMost("slots_over_allowance", r.SlotsOver, o.SlotsOver)
	atMost("packets_after_out", r.PacketsAfterOut, o.PacketsAfterOut)
	atMost("new_work_after_leaving", r.NewWorkAfterLeaving, o.NewWorkAfterLeaving)
	atMost("unfinished_at_stop", r.UnfinishedAtStop, o.UnfinishedAtStop)
	atMost("versions_reverted", r.VersionsReverted, o.VersionsReverted)
	atMost("commands_unanswered", r.CommandsUnanswered, o.UnansweredAtMost)
	if o.UnknownOutcomeAtMost != nil {
		atMost("commands_unknown", r.CommandsUnknown, *o.UnknownOutcomeAtMost)
	}
	atLeast("flows_at_least", r.FlowsCompleted, o.FlowsAtLeast)
	atLeast("commands_at_least", r.CommandsAnswered, o.CommandsAtLeast)
	if r.Requests > 0 {
		atLeast("served_share_at_least", 100*r.Answered/r.Requests, o.ServedShareAtLeast)
	}
	f.compareVersions()
	r.Passed = len(r.Failures) == 0
}

// compareVersions appends a failure for each running entry host on which a value
// has another version than the trace states. Paused hosts are skipped.
func (f *fleet) compareVersions() {
	for _, h := range f.hostOrder {
		if !h.running() || h.paused {
			continue
		}
		versions := h.daemon.Versions()
		for _, v := range f.trace.Outcomes.Versions {
			if got := versions[v.Key]; got != uint64(v.Version) {
				f.result.Failures = append(f.result.Failures, fmt.Sprintf("versions: %s at %s is %d, must be %d", v.Key, h.id, got, v.Version))
			}
		}
	}
}

// Files returns the trace files named by paths. A directory stands for its .yaml
// files in lexical order.
func Files(paths []string) ([]string, error) {
	var files []string
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			files = append(files, p)
			continue
		}
		found, err := filepath.Glob(filepath.Join(p, "*.yaml"))
		if err != nil {
			return nil, err
		}
		slices.Sort(found)
		files = append(files, found...)
	}
	return files, nil
}
