package entry

import (
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/follower"
)

// Limits are the settings of a host that its operators may change.
type Limits struct {
	MaxFlows       int           // flows remembered; those beyond are forwarded all the same
	FlowIdle       time.Duration // after which a flow is forgotten when the configuration states no time
	FlowLinesPerS  int           // log lines about flows a second; more are counted only
	GossipInterval time.Duration
	Follower       follower.Config
}

// DefaultLimits returns the limits for a deployment whose configurations must be in force after applyWithin.
func DefaultLimits(applyWithin time.Duration) Limits {
	return Limits{
		MaxFlows:       100_000,
		FlowIdle:       15 * time.Second,
		FlowLinesPerS:  50,
		GossipInterval: 250 * time.Millisecond,
		Follower: follower.Config{
			WatchWait:   applyWithin * 2 / 5,
			CallTimeout: 500 * time.Millisecond,
			StaleAfter:  applyWithin * 2 / 3,
			RetryMin:    100 * time.Millisecond,
			RetryMax:    time.Second,
		},
	}
}
