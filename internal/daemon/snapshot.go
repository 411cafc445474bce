package daemon

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/command"
	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/membership"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
	"github.com/nutmeglatch/nutmeglatch/internal/route"
)

// changes holds what has changed since the last snapshot, so that the cost of a
// new snapshot is proportional to the change.
type changes struct {
	hosts    bool            // members changed, or which hosts may own buckets
	all      bool            // something changed that every service depends on
	services map[string]bool // names of services with a changed document
}

// each visits the services whose owners may have changed. svc is nil
// for a service that was removed.
func (ch *changes) each(snap *route.Snapshot, visit func(name string, svc *route.Service)) {
	if ch.hosts || ch.all {
		for name, svc := range snap.ByName.All() {
			visit(name, svc)
		}
		return
	}
	for name := range ch.services {
		visit(name, snap.ByName.Get(name))
	}
}

func newChanges() changes { return changes{services: map[string]bool{}} }

// publish stores a new snapshot for the traffic goroutines if control state has
// changed. Limits depend on the owners in the snapshot and the snapshot on the
// limits, so a change of the owners is published in two steps.
func (c *control) publish(now time.Time) {
	if !c.dirty {
		return
	}
	c.dirty = false
	accepted := c.config.Current()
	c.replanReads(accepted)
	if !maps.Equal(c.conflicted, accepted.Conflicted) {
		c.conflicted, c.changes.all = accepted.Conflicted, true
	}
	ch := c.changes
	c.changes = newChanges()
	snap := c.buildSnapshot(ch)
	for name := range c.limits.owners {
		ch.services[name] = true // limits and verdicts apply to these
	}
	c.setLimitInput(now, snap, ch)
	for name := range c.limits.owners {
		ch.services[name] = true
	}
	setServices(c, ch.services)
	snap = c.builder.Snapshot()
	c.d.snapshot.Store(snap)
	c.ownersChanged(now, snap, ch)
	c.performCommands(now, c.runner.RecheckQueued(now, c.admitsRun))
}

// ownersChanged passes to the command package the owners of each bucket and
// whether this host sees a majority.
func (c *control) ownersChanged(now time.Time, snap *route.Snapshot, ch changes) {
	c.setQuorums(now, snap, ch)
	c.setConditions(now)
	ch.each(snap, func(name string, svc *route.Service) { c.updateOwners(now, snap, name, svc) })
}

// updateOwners passes the owners of a service to the command package if this
// host is one of them or has needed them before. The owners of all services would
// take 10 MB at the target size.
func (c *control) updateOwners(now time.Time, snap *route.Snapshot, name string, svc *route.Service) {
	if svc == nil || !svc.InGroup(snap.SelfIndex) && c.commandServices[name] == nil {
		return
	}
	c.setOwners(now, snap, name, svc)
}

// ensureOwners passes the owners of a service to the command package if it does
// not have them yet.
func (c *control) ensureOwners(now time.Time, name string) {
	snap := c.d.snapshot.Load()
	if svc := snap.ByName.Get(name); svc != nil && c.commandServices[name] == nil {
		c.setOwners(now, snap, name, svc)
	}
}

func (c *control) setOwners(now time.Time, snap *route.Snapshot, name string, svc *route.Service) {
	if svc.CommandAddr == (route.ServiceAddr{}) || c.commandServices[name] == svc {
		return
	}
	c.commandServices[name] = svc
	var owners [route.Buckets]command.Owners
	for b, o := range svc.Owners() {
		owners[b] = command.Owners{Primary: hostID(snap, o[0]), Secondary: hostID(snap, o[1])}
	}
	c.performCommands(now, c.commands.SetOwners(now, name, &owners))
}

// hostID returns the id of a host, empty for none.
func hostID(s *route.Snapshot, i uint16) string {
	if i == route.NoHost {
		return ""
	}
	return s.Hosts[i].ID
}

// buildSnapshot applies documents and members to the snapshot.
func (c *control) buildSnapshot(ch changes) *route.Snapshot {
	c.builder.SetServing(c.serving)
	if ch.hosts {
		c.builder.SetHosts(c.routeHosts(c.dataCentresOut()))
	}
	if ch.all {
		setServices(c, c.config.Current().Services)
	} else {
		setServices(c, ch.services)
	}
	return c.builder.Snapshot()
}

// setServices passes the named services to the snapshot builder.
func setServices[V any](c *control, names map[string]V) {
	accepted := c.config.Current()
	out, leaving := c.dataCentresOut(), c.leavingBackends()
	for name := range names {
		if s := accepted.Services[name]; s != nil {
			c.builder.SetService(c.serviceConfig(s, out, accepted.Conflicted, leaving))
		}
	}
}

// routeHosts returns the entry hosts that may receive forwarded packets. Leaving
// hosts, and those of a data centre that is out, own nothing.
func (c *control) routeHosts(out []string) []route.Host {
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
		limit = &c.limits.noBudget
	}
	verdict := c.limits.verdicts[addr]
	cfg := route.BackendConfig{
		Addr:          addr,
		DataCentre:    dc,
		Instance:      verdict.Instance,
		StartedBy:     c.d.sinceStart(verdict.StartedBy),
		DataCentreOut: out,
		Draining:      b.Draining || leaving || verdict.Draining,
		Stable:        !limit.cold,
		Unusable:      conflicted || verdict.Foreign,
		Weight:        limit.weight,
		NewFlowBudget: &limit.budget,
	}
	// The other backend servers have no counters: a shared set would be written
	// by every traffic goroutine at once.
	if limit != &c.limits.noBudget {
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
