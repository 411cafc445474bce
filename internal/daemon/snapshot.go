package daemon

import (
	"net/netip"
	"slices"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/command"
	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/membership"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
	"github.com/nutmeglatch/nutmeglatch/internal/route"
)

// publish gives the traffic goroutines a new snapshot when control state has
// changed. Limits depend on the owners in the snapshot and the snapshot on the
// limits, so a change of the owners is published in two steps.
func (c *control) publish(now time.Time) {
	if !c.dirty {
		return
	}
	c.dirty = false
	snap := c.buildSnapshot(now)
	c.limitInput(now, snap)
	snap = c.buildSnapshot(now)
	c.d.snapshot.Store(snap)
	c.ownersChanged(now, snap)
}

// ownersChanged tells the command slice who owns which bucket and whether this
// host sees a majority.
func (c *control) ownersChanged(now time.Time, snap *route.Snapshot) {
	c.commands.SetConditions(now, c.conditions())
	for name, svc := range snap.ByName.All() {
		if svc.CommandAddr == (route.ServiceAddr{}) || c.owned[name] == svc {
			continue
		}
		c.owned[name] = svc
		var owners [route.Buckets]command.Owners
		for b, o := range svc.Owners {
			owners[b] = command.Owners{Primary: hostID(snap, o[0]), Secondary: hostID(snap, o[1])}
		}
		c.performCommands(now, c.commands.SetOwners(now, name, &owners))
	}
}

// conditions are what this host knows about its place in the fleet.
func (c *control) conditions() command.Conditions {
	return command.Conditions{Majority: c.members.Majority(c.dataCentresOut()), Serving: c.serving}
}

// hostID returns the id of a host, empty for none.
func hostID(s *route.Snapshot, i uint16) string {
	if i == route.NoHost {
		return ""
	}
	return s.Hosts[i].ID
}

func (c *control) buildSnapshot(now time.Time) *route.Snapshot {
	accepted := c.config.Current()
	var out []string
	if accepted.DataCentres != nil {
		out = accepted.DataCentres.Out
	}
	c.builder.SetServing(c.serving)
	c.builder.SetHosts(c.owners(out))
	leaving := c.leavingBackends()
	for _, s := range accepted.Services {
		c.builder.SetService(c.serviceConfig(s, out, accepted.Conflicted, leaving))
	}
	return c.builder.Snapshot()
}

// owners returns the entry hosts that forwarded packets may go to. Hosts that
// leave, or whose data centre is out, own nothing.
func (c *control) owners(out []string) []route.Host {
	var hosts []route.Host
	for _, m := range c.members.Members() {
		isSelf := m.Host.ID == c.d.settings.HostID
		if !isLive(m.Status) && !isSelf || !isSelf && !m.Confirmed() {
			continue
		}
		hosts = append(hosts, route.Host{
			ID:         m.Host.ID,
			DataCentre: m.Host.DataCentre,
			Region:     m.Host.Region,
			Peer:       m.Host.PeerAddr(),
			Leaving:    isSelf && c.leaving || m.Host.State == document.HostLeaving || slices.Contains(out, m.Host.DataCentre),
			Suspect:    m.Status == membership.Suspect,
			Boot:       m.Boot,
		})
	}
	return hosts
}

func (c *control) serviceConfig(s *document.Service, out []string, conflicted, leaving map[netip.AddrPort]bool) route.ServiceConfig {
	cfg := route.ServiceConfig{
		Name:     s.Name,
		Region:   s.Region,
		Addr:     route.ServiceAddr{Addr: s.Address, Port: s.Port, Proto: protocolNumber(s.Protocol)},
		FlowIdle: s.FlowIdle.Std(),
	}
	if s.Commands != nil {
		cfg.CommandAddr = route.ServiceAddr{Addr: s.Commands.Address, Port: s.Commands.Port, Proto: packet.ProtoUDP}
	}
	for _, dc := range s.DataCentres {
		for i := range dc.BackendServers {
			b := &dc.BackendServers[i]
			cfg.Backends = append(cfg.Backends, c.backendConfig(b, dc.Name, slices.Contains(out, dc.Name), conflicted[b.AddrPort()], leaving[b.AddrPort()]))
		}
	}
	return cfg
}

func (c *control) backendConfig(b *document.BackendServer, dc string, out, conflicted, leaving bool) route.BackendConfig {
	addr := b.AddrPort()
	limit := c.limits.backends[addr]
	if limit == nil {
		limit = &c.limits.closed
	}
	verdict := c.limits.verdicts[addr]
	cfg := route.BackendConfig{
		Addr:       addr,
		DataCentre: dc,
		Instance:   verdict.Instance,
		Out:        out,
		Draining:   b.Draining || leaving || verdict.Draining,
		Stable:     !limit.cold,
		Unusable:   conflicted || verdict.Foreign,
		Weight:     limit.weight,
		Admit:      &limit.budget,
	}
	// One set of counters for all other backend servers would be written by
	// every traffic goroutine at once.
	if limit != &c.limits.closed {
		cfg.Traffic = &limit.traffic
	}
	return cfg
}

func protocolNumber(p document.Protocol) uint8 {
	if p == document.UDP {
		return packet.ProtoUDP
	}
	return packet.ProtoTCP
}
