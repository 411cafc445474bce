package daemon

import (
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/admission"
	"github.com/nutmeglatch/nutmeglatch/internal/command"
)

// slotInput tells which backend servers' commands this host admits.
func (c *control) slotInput(now time.Time, out map[string]bool, leaving map[netip.AddrPort]bool) {
	in := map[netip.AddrPort]admission.SlotInput{}
	self := c.d.settings.HostID
	for name := range c.limits.owners {
		doc := c.config.Current().Services[name]
		if doc.Commands == nil {
			continue
		}
		for _, dc := range doc.DataCentres {
			if !c.mayObserve(dc.Name) {
				continue
			}
			for _, b := range dc.BackendServers {
				addr := b.AddrPort()
				if id, ok := admission.AdmittingHost(addr, dc.Name, c.limits.ranking); ok && id == self {
					in[addr] = admission.SlotInput{
						Doc:      b,
						Deadline: min(doc.Commands.Deadline.Std(), c.d.settings.Limits.CommandDeadline.Std()),
						Verdict:  c.limits.verdicts[addr],
						Out:      out[dc.Name] || leaving[addr],
					}
				}
			}
		}
	}
	c.limits.slots.SetBackends(now, in)
}

// commandSlots adapts the admission slots to the command runner.
type commandSlots struct {
	slots *admission.Slots
	next  command.Token
	held  map[command.Token]admission.Token
}

// slotRefusal translates a refusal of the admission slots.
func slotRefusal(r admission.Refusal) command.Refusal {
	switch r {
	case admission.Granted:
		return ""
	case admission.RefusedBusy:
		return command.SlotsBusy
	case admission.RefusedTakeover:
		return command.SlotsTakeover
	}
	return command.Refusal(r.String())
}

// Check says whether a slot of a backend server is free.
func (s *commandSlots) Check(now time.Time, backend netip.AddrPort, deadline time.Time) command.Refusal {
	return slotRefusal(s.slots.Check(now, backend, deadline))
}

// Acquire takes a slot of a backend server.
func (s *commandSlots) Acquire(now time.Time, backend netip.AddrPort, deadline time.Time) (command.Token, command.Refusal) {
	token, refusal := s.slots.Acquire(now, backend, deadline)
	if refusal != admission.Granted {
		return 0, slotRefusal(refusal)
	}
	if s.held == nil {
		s.held = map[command.Token]admission.Token{}
	}
	s.next++
	s.held[s.next] = token
	return s.next, ""
}

// Release returns a slot.
func (s *commandSlots) Release(t command.Token) {
	s.slots.Release(s.held[t])
	delete(s.held, t)
}
