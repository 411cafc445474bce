// Package replay plays traces. A trace lists timed events in a fleet of entry
// hosts and the outcomes that are allowed. The entry hosts run the daemon's
// control and packet code in simulated time; the network, the platform, the
// backend servers and the callers are in-memory fakes. A trace has the same
// result in every run.
package replay

import (
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// Trace is a recorded sequence of events with its allowed outcomes.
type Trace struct {
	Name       string      `yaml:"trace"`
	About      string      `yaml:"about"`
	Seed       uint64      `yaml:"seed"`
	Duration   Duration    `yaml:"duration"`
	Region     string      `yaml:"region"`
	EntryHosts []EntryHost `yaml:"entry_hosts"`
	Services   []Service   `yaml:"services"`
	Events     []Event     `yaml:"events"`
	Outcomes   Outcomes    `yaml:"outcomes"`
}

// Duration is a time span, or a time since the start of the trace.
type Duration = document.Duration

// EntryHost describes an entry host. It is listed and runs from the start unless
// Absent is set.
type EntryHost struct {
	ID         string `yaml:"id"`
	DataCentre string `yaml:"data_centre"`
	Absent     bool   `yaml:"absent,omitempty"` // neither listed nor running at the start
}

// Service describes a service and its first document.
type Service struct {
	Name              string    `yaml:"name"`
	Protocol          string    `yaml:"protocol"`
	Deadline          Duration  `yaml:"deadline,omitempty"` // of commands; zero for a service without commands
	IdempotentMethods []string  `yaml:"idempotent_methods,omitempty"`
	Backends          []Backend `yaml:"backend_servers"`
}

// Backend describes a backend server. It is warm at the start of the trace unless
// Cold is set.
type Backend struct {
	Name            string   `yaml:"name"`
	DataCentre      string   `yaml:"data_centre"`
	Connections     int      `yaml:"connections"`
	Slots           int      `yaml:"slots"`
	ColdConnections int      `yaml:"cold_connections"`
	ColdSlots       int      `yaml:"cold_slots"`
	Ramp            Duration `yaml:"ramp"`
	CommandTime     Duration `yaml:"command_time,omitempty"` // time to run one command
	Cold            bool     `yaml:"cold,omitempty"`
	Absent          bool     `yaml:"absent,omitempty"` // neither listed nor running until a join event
}

// Event is an action at a time since the start of the trace. The action decides
// which fields are used.
type Event struct {
	At         Duration `yaml:"at"`
	Action     string   `yaml:"action"`
	Service    string   `yaml:"service,omitempty"`
	Backend    string   `yaml:"backend_server,omitempty"`
	Host       string   `yaml:"host,omitempty"`
	DataCentre string   `yaml:"data_centre,omitempty"`
	Peer       string   `yaml:"peer,omitempty"`
	Count      int      `yaml:"count,omitempty"`
	Over       Duration `yaml:"over,omitempty"`
	Life       Duration `yaml:"life,omitempty"`
	Interval   Duration `yaml:"interval,omitempty"`
	Delay      Duration `yaml:"delay,omitempty"`
	Method     string   `yaml:"method,omitempty"`
	Repeats    int      `yaml:"repeats,omitempty"`
	Version    int      `yaml:"version,omitempty"`
	State      string   `yaml:"state,omitempty"`
	Loss       int      `yaml:"loss,omitempty"`      // percent
	Duplicate  int      `yaml:"duplicate,omitempty"` // percent
	Reorder    int      `yaml:"reorder,omitempty"`   // percent, delayed by Delay
}

// Outcomes are the allowed results. Counts are upper bounds, zero by default;
// those whose name ends in at_least are lower bounds.
type Outcomes struct {
	BrokenFlows          BrokenFlows `yaml:"broken_flows"`
	FlowsAtLeast         int         `yaml:"flows_at_least"`        // completed
	CommandsAtLeast      int         `yaml:"commands_at_least"`     // answered by a backend server
	ServedShareAtLeast   int         `yaml:"served_share_at_least"` // percent of the requests of all flows, SYNs included
	WrongServicePackets  int         `yaml:"wrong_service_packets"`
	CommandsRunTwice     int         `yaml:"commands_run_twice"`
	FalseNotRun          int         `yaml:"false_not_run"`
	WrongAnswers         int         `yaml:"wrong_answers"`
	ConnectionsOver      int         `yaml:"connections_over_allowance"`
	SlotsOver            int         `yaml:"slots_over_allowance"`
	OutAfter             Duration    `yaml:"out_after"` // default 5s
	PacketsAfterOut      int         `yaml:"packets_after_out"`
	LeavingAfter         Duration    `yaml:"leaving_after"` // default 5s
	NewWorkAfterLeaving  int         `yaml:"new_work_after_leaving"`
	UnfinishedAtStop     int         `yaml:"unfinished_at_stop"` // graceful stops that did not complete
	VersionsReverted     int         `yaml:"versions_reverted"`
	Versions             []Version   `yaml:"versions"`
	UnansweredAtMost     int         `yaml:"commands_unanswered"`
	UnknownOutcomeAtMost *int        `yaml:"commands_unknown"` // no limit if absent
}

// BrokenFlows counts established flows that ended early, by cause.
type BrokenFlows struct {
	Unexpected    int `yaml:"unexpected" json:"unexpected"`
	DataCentreOut int `yaml:"data_centre_out" json:"data_centre_out"`
	BackendEnded  int `yaml:"backend_server_ended" json:"backend_server_ended"` // or the server was unlisted
	Partition     int `yaml:"partition" json:"partition"`                       // separated from the caller
}

// Total returns the number of broken flows over all causes.
func (b *BrokenFlows) Total() int {
	return b.Unexpected + b.DataCentreOut + b.BackendEnded + b.Partition
}

// Version is the version of a value that must be in effect on every running
// entry host at the end of the trace.
type Version struct {
	Key     string `yaml:"key"`
	Version int    `yaml:"version"`
}

// Default times of Outcomes.
const (
	defaultOutAfter     = 5 * time.Second
	defaultLeavingAfter = 5 * time.Second
)
