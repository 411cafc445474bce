// Package replay plays traces: timed events of a fleet of entry hosts, and the
// outcomes that are allowed. The entry hosts are the daemon's control and
// packet code in simulated time; the network, the platform, the backend servers
// and the callers are small fakes in memory. A trace has the same result in
// every run.
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

// EntryHost is an entry host of the first host list. It runs from the start
// unless Absent is set.
type EntryHost struct {
	ID         string `yaml:"id"`
	DataCentre string `yaml:"data_centre"`
	Absent     bool   `yaml:"absent,omitempty"` // neither listed nor running at the start
}

// Service is a service with its first document.
type Service struct {
	Name              string    `yaml:"name"`
	Protocol          string    `yaml:"protocol"`
	Deadline          Duration  `yaml:"deadline,omitempty"` // of commands; none without it
	IdempotentMethods []string  `yaml:"idempotent_methods,omitempty"`
	Backends          []Backend `yaml:"backend_servers"`
}

// Backend is a backend server. It is warm at the start of the trace unless
// Cold is set.
type Backend struct {
	Name            string   `yaml:"name"`
	DataCentre      string   `yaml:"data_centre"`
	Connections     int      `yaml:"connections"`
	Slots           int      `yaml:"slots"`
	ColdConnections int      `yaml:"cold_connections"`
	ColdSlots       int      `yaml:"cold_slots"`
	Ramp            Duration `yaml:"ramp"`
	CommandTime     Duration `yaml:"command_time,omitempty"` // to run one command
	Cold            bool     `yaml:"cold,omitempty"`
	Absent          bool     `yaml:"absent,omitempty"` // joins by an event
}

// Event happens at a time. Which fields it uses depends on the action.
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

// Outcomes are the allowed results. The counts are upper bounds and zero when
// not stated, unless the name ends in at_least.
type Outcomes struct {
	BrokenFlows          BrokenFlows `yaml:"broken_flows"`
	FlowsAtLeast         int         `yaml:"flows_at_least"`        // completed
	CommandsAtLeast      int         `yaml:"commands_at_least"`     // answered by a backend server
	ServedShareAtLeast   int         `yaml:"served_share_at_least"` // percent of the requests of open flows and new flows
	WrongServicePackets  int         `yaml:"wrong_service_packets"`
	CommandsRunTwice     int         `yaml:"commands_run_twice"`
	FalseNotRun          int         `yaml:"false_not_run"`
	WrongAnswers         int         `yaml:"wrong_answers"`
	ConnectionsOver      int         `yaml:"connections_over_allowance"`
	SlotsOver            int         `yaml:"slots_over_allowance"`
	OutAfter             Duration    `yaml:"out_after"` // 5s when not stated
	PacketsAfterOut      int         `yaml:"packets_after_out"`
	LeavingAfter         Duration    `yaml:"leaving_after"` // 5s when not stated
	NewWorkAfterLeaving  int         `yaml:"new_work_after_leaving"`
	UnfinishedAtStop     int         `yaml:"unfinished_at_stop"` // graceful stops that did not complete
	VersionsReverted     int         `yaml:"versions_reverted"`
	Versions             []Version   `yaml:"versions"`
	UnansweredAtMost     int         `yaml:"commands_unanswered"`
	UnknownOutcomeAtMost *int        `yaml:"commands_unknown"` // not limited when not stated
}

// BrokenFlows allows established flows to end early, by cause.
type BrokenFlows struct {
	Unexpected int `yaml:"unexpected" json:"unexpected"`
	OutOfDC    int `yaml:"data_centre_out" json:"data_centre_out"`
	Backend    int `yaml:"backend_server_ended" json:"backend_server_ended"` // its process ended
	Partition  int `yaml:"partition" json:"partition"`                       // its backend server was on the other side
}

// Total returns the sum over all causes.
func (b *BrokenFlows) Total() int { return b.Unexpected + b.OutOfDC + b.Backend + b.Partition }

// Version is the version of a value that every running entry host has accepted
// at the end.
type Version struct {
	Key     string `yaml:"key"`
	Version int    `yaml:"version"`
}

// Limits of the times in outcomes when a trace states none.
const (
	defaultOutAfter     = 5 * time.Second
	defaultLeavingAfter = 5 * time.Second
)
