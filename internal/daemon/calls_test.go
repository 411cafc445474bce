package daemon

import (
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/command"
	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/peer"
	"github.com/nutmeglatch/nutmeglatch/internal/settings"
)

// TestCallLimitsAllowForWaitingCommands guards against calls that time out while a
// command still waits or runs, and against waiting commands that use up the
// requests in progress, so that claims are refused.
func TestCallLimitsAllowForWaitingCommands(t *testing.T) {
	s := settings.Default()
	s.Limits.CommandDeadline = document.Duration(15 * time.Second)
	d := &Daemon{settings: &s, network: SystemNetwork{}}
	cfg := d.peerConfig()
	if cfg.CallTimeout <= 15*time.Second {
		t.Errorf("calls end after %s, before the longest command", cfg.CallTimeout)
	}
	if cfg.MaxRequests-command.MaxWaitingOfOwner < peer.DefaultMaxRequests {
		t.Errorf("%d requests in progress, of which %d may wait", cfg.MaxRequests, command.MaxWaitingOfOwner)
	}
}
