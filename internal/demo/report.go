package demo

import (
	"fmt"
	"time"
)

// Limits that the report is checked against. They follow from the documented
// guarantees: "a few seconds" is 5 s at the size of the demo.
const (
	takeoutGrace     = 3 * time.Second
	leavingGrace     = 3 * time.Second
	configSpreadGoal = 5 * time.Second
)

// Report is the result of a run.
type Report struct {
	Deployment             string         `json:"deployment"`
	Seed                   uint64         `json:"seed"`
	DurationMS             int64          `json:"duration_ms"`
	EntryHosts             int            `json:"entry_hosts"`
	BackendServers         int            `json:"backend_servers"`
	Flows                  int            `json:"flows"`
	FlowsNotOpened         int            `json:"flows_not_opened"`
	FlowsNotOpenedAfter    map[string]int `json:"flows_not_opened_after"` // by the last event before the flow started
	FlowAnswers            int            `json:"flow_answers"`
	BrokenFlows            int            `json:"broken_flows"`
	BrokenFlowsByCause     map[string]int `json:"broken_flows_by_cause"`
	BrokenFlowDetails      []BrokenFlow   `json:"broken_flow_details"` // except those of the data centre taken out
	WrongServicePackets    int64          `json:"wrong_service_packets"`
	Commands               int            `json:"commands"`
	CommandsByOutcome      map[string]int `json:"commands_by_outcome"`
	CommandsNotAnswered    map[string]int `json:"commands_not_answered_after"` // by the last event before the request
	CommandMS              Latency        `json:"command_ms"`                  // of answered commands
	CommandsRunTwice       int            `json:"commands_run_twice"`
	FalseNotRun            int            `json:"false_not_run"`
	WrongAnswers           int            `json:"wrong_answers"`
	MaxOverLimit           int            `json:"max_over_limit"` // largest excess over the allowance of a backend server
	Sheds                  int64          `json:"sheds"`
	Imbalance              float64        `json:"imbalance"`
	PacketsAfterTakeout    int64          `json:"packets_after_takeout"`
	NewWorkAfterLeaving    int64          `json:"new_work_after_leaving"`
	ServedShareDuringMove  float64        `json:"served_share_during_takeout"` // 0 to 1; of flows started during it
	ConfigSpreadMS         int64          `json:"config_spread_ms"`            // until in effect on every entry host
	PlatformReadsPerSecond float64        `json:"platform_reads_per_second"`
	Events                 []EventReport  `json:"events"`
	Violations             []string       `json:"violations"`
}

// Latency is a distribution of times in milliseconds.
type Latency struct {
	P50 int64 `json:"p50"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

// BrokenFlow describes an established flow that ended early.
type BrokenFlow struct {
	Source     string `json:"source"`
	Cause      string `json:"cause"`
	Backend    string `json:"backend_server"`
	DataCentre string `json:"data_centre"`
	OpenedMS   int64  `json:"opened_ms"`
	EndedMS    int64  `json:"ended_ms"`
	Answers    int    `json:"answers"`
}

// maxDetails limits the number of broken flows in Report.BrokenFlowDetails.
const maxDetails = 50

// EventReport is an event of the scenario, with its time since the start of the
// run.
type EventReport struct {
	AtMS int64  `json:"at_ms"`
	Name string `json:"name"`
}

// causeDataCentreOut is the cause of flows that broke because their data centre
// was taken out, which is allowed.
const causeDataCentreOut = "data_centre_out"

// checkBounds appends a violation for each guarantee that the run did not meet.
func (r *Report) checkBounds() {
	r.Violations = []string{}
	check := func(ok bool, format string, args ...any) {
		if !ok {
			r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
		}
	}
	unplanned := r.BrokenFlows - r.BrokenFlowsByCause[causeDataCentreOut]
	check(unplanned == 0, "%d established flows broke outside the data centre that was taken out", unplanned)
	check(r.WrongServicePackets == 0, "%d packets reached another service", r.WrongServicePackets)
	check(r.CommandsRunTwice == 0, "%d commands that are not idempotent ran more than once", r.CommandsRunTwice)
	check(r.FalseNotRun == 0, "%d commands ran although the caller was told that they did not", r.FalseNotRun)
	check(r.WrongAnswers == 0, "%d callers got the answer to another request", r.WrongAnswers)
	check(r.MaxOverLimit <= 0, "a backend server received %d more than it may bear", r.MaxOverLimit)
	check(r.PacketsAfterTakeout == 0, "%d packets reached the data centre later than %s after it was taken out", r.PacketsAfterTakeout, takeoutGrace)
	check(r.NewWorkAfterLeaving == 0, "%d new flows or commands reached a backend server later than %s after it began to leave", r.NewWorkAfterLeaving, leavingGrace)
	check(r.ConfigSpreadMS >= 0 && r.ConfigSpreadMS <= configSpreadGoal.Milliseconds(), "a document took %d ms to be in force everywhere", r.ConfigSpreadMS)
}
