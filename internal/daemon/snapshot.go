package daemon

import (
	"net/netip"
	"slices"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/packet"
	"github.com/nutmeglatch/nutmeglatch/internal/route"
)

// publish gives the traffic goroutines a new snapshot when control state has
// changed.
func (c *control) publish(now time.Time) {
	if !c.dirty {
		return
	}
	c.dirty = false
	c.d.snapshot.Store(c.buildSnapshot(now))
}

func (c *control) buildSnapshot(now time.Time) *route.Snapshot {
	accepted := c.config.Current()
	var out []string
	if accepted.DataCentres != nil {
		out = accepted.DataCentres.Out
	}
	c.builder.SetServing(c.serving)
	c.builder.SetHosts(c.owners(out))
	for _, s := range accepted.Services {
		c.builder.SetService(c.serviceConfig(s, out, accepted.Conflicted))
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
			Suspect:    m.Status == suspect,
		})
	}
	return hosts
}

func (c *control) serviceConfig(s *document.Service, out []string, conflicted map[netip.AddrPort]bool) route.ServiceConfig {
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
			cfg.Backends = append(cfg.Backends, c.backendConfig(b, dc.Name, slices.Contains(out, dc.Name), conflicted[b.AddrPort()]))
		}
	}
	return cfg
}

func (c *control) backendConfig(b *document.BackendServer, dc string, out, conflicted bool) route.BackendConfig {
	return route.BackendConfig{
		Addr:       b.AddrPort(),
		DataCentre: dc,
		Out:        out,
		Draining:   b.Draining,
		Stable:     true,
		Unusable:   conflicted,
		Weight:     1,
	}
}

func protocolNumber(p document.Protocol) uint8 {
	if p == document.UDP {
		return packet.ProtoUDP
	}
	return packet.ProtoTCP
}
