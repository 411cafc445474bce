package daemon

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/admission"
	"github.com/nutmeglatch/nutmeglatch/internal/command"
	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/health"
	"github.com/nutmeglatch/nutmeglatch/internal/membership"
)

// slotCallTimeout bounds a query about slots. Queries are repeated.
const slotCallTimeout = 300 * time.Millisecond

// setSlotInput sets the backend servers whose commands this host admits. before
// are the hosts that were live before this change. A host that has just started
// admits none until it serves, since it may not have learned of the others yet.
func (c *control) setSlotInput(now time.Time, before []document.Host, out map[string]bool, leaving map[netip.AddrPort]bool) {
	if !c.limits.admitsCommands {
		if !c.serving {
			return
		}
		c.limits.admitsCommands, before = true, c.limits.hosts
	}
	previous := sync.OnceValue(func() *health.Ranking { return c.rankingWithoutSelf(before) })
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
				if id, ok := admission.AdmittingHost(addr, dc.Name, c.limits.ranking); !ok || id != self {
					continue
				}
				input := admission.SlotInput{
					Doc:          b,
					Deadline:     min(doc.Commands.Deadline.Std(), c.d.settings.Limits.CommandDeadline.Std()),
					Verdict:      c.limits.verdicts[addr],
					OutOfService: out[dc.Name] || leaving[addr],
				}
				if !c.limits.slots.Owned(addr) {
					input.Previous, _ = admission.AdmittingHost(addr, dc.Name, previous())
				}
				in[addr] = input
			}
		}
	}
	c.limits.slots.SetBackends(now, in)
}

// rankingWithoutSelf ranks the hosts that may have admitted commands before
// this one took over.
func (c *control) rankingWithoutSelf(hosts []document.Host) *health.Ranking {
	r := health.NewRanking()
	r.SetHosts(slices.DeleteFunc(slices.Clone(hosts), func(h document.Host) bool { return h.ID == c.d.settings.HostID }))
	return r
}

// querySlots asks the previous admitting hosts which slots are in use.
func (c *control) querySlots(now time.Time) {
	queries := c.limits.slots.Queries(now)
	if len(queries) == 0 {
		return
	}
	members := c.members.Members()
	for _, q := range queries {
		dead := func(m membership.Member) bool { return m.Host.ID == q.To && m.Status == membership.Dead }
		if slices.ContainsFunc(members, dead) {
			continue
		}
		callPeer(c, q.To, admission.MethodSlots, slotCallTimeout, q,
			func(c *control, now time.Time, reply admission.SlotReply, status command.CallStatus) {
				if status == command.CallDone {
					c.limits.slots.HandleReply(now, q, reply)
				}
			})
	}
}

func handleSlots(d *Daemon, ctx context.Context, from string, params json.RawMessage) (any, error) {
	return answer(d, ctx, params, func(c *control, now time.Time, q admission.SlotQuery) admission.SlotReply {
		return c.limits.slots.Answer(now, from, q)
	})
}

// commandSlots adapts the admission slots to the command runner.
type commandSlots struct {
	slots *admission.Slots
	next  command.Token
	held  map[command.Token]admission.Token
}

// slotRefusal converts a refusal of the admission slots to one of the command
// package.
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

// Check returns why no slot of a backend server is available, empty if one is.
func (s *commandSlots) Check(now time.Time, backend netip.AddrPort, deadline time.Time) command.Refusal {
	return slotRefusal(s.slots.Check(now, backend, deadline))
}

// Acquire acquires a slot of a backend server.
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

// Release releases a slot.
func (s *commandSlots) Release(t command.Token) {
	s.slots.Release(s.held[t])
	delete(s.held, t)
}
