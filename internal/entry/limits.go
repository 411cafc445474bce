package entry

import (
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/follower"
	"github.com/nutmeglatch/nutmeglatch/internal/overload"
)

// Limits holds the limits and times of a host. MaxFlows, FlowIdle and FlowLinesPerS take effect at its start, the others can
// change while it runs.
type Limits struct {
	MaxFlows       int           // maximum size of the flow table; packets of further flows are forwarded without an entry
	FlowIdle       time.Duration // idle time after which a flow's entry is removed; used if the configuration sets none
	FlowLinesPerS  int           // maximum number of log lines about flows a second; further ones are only counted
	GossipInterval time.Duration // between gossip rounds
	Choice         Choice
	Follower       follower.Config
	Admission      overload.Config // of new flows while a service has too little room
}

// Choice states how a backend server is chosen for a new flow, within its preference.
type Choice string

// Choices.
const (
	ChooseByFlows Choice = "flows"         // fewest flows per slot
	ChooseByWork  Choice = "expected_work" // least expected work, for services with a target latency; otherwise by flows
)

// DefaultLimits returns the limits for a deployment in which a new configuration must be in force within applyWithin.
func DefaultLimits(applyWithin time.Duration) Limits {
	return Limits{
		MaxFlows:       100_000,
		FlowIdle:       15 * time.Second,
		FlowLinesPerS:  50,
		GossipInterval: 250 * time.Millisecond,
		Choice:         ChooseByWork,
		Follower: follower.Config{
			WatchWait:   applyWithin * 2 / 5,
			CallTimeout: 500 * time.Millisecond,
			StaleAfter:  applyWithin * 2 / 3,
			RetryMin:    100 * time.Millisecond,
			RetryMax:    time.Second,
		},
		Admission: overload.Config{Enabled: true, Floor: 0.1},
	}
}
