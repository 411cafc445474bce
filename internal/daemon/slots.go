package daemon

import (
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/command"
)

// slots gives out the command slots of the backend servers that this host
// admits commands to.
type slots struct{ c *control }

func newSlots(c *control) *slots { return &slots{c: c} }

// Acquire takes a slot of a backend server.
func (s *slots) Acquire(time.Time, netip.AddrPort, time.Time) (command.Token, command.Refusal) {
	return 0, ""
}

// Release returns a slot.
func (s *slots) Release(command.Token) {}
