package document

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/strictyaml"
)

// Bounds of the fields of documents.
const (
	MaxNameBytes      = strictyaml.MaxNameBytes
	MaxMethodBytes    = 128
	MaxLoadURLBytes   = 2048
	MaxDataCentres    = 64
	MaxConnections    = 1_000_000
	MaxSlots          = 100_000
	MinFlowIdle       = time.Second
	MaxFlowIdle       = 24 * time.Hour
	MinColdRamp       = time.Second
	MaxColdRamp       = time.Hour
	minCommandTimeout = 10 * time.Millisecond
)

const (
	allowedVersion = "an integer from 1 that rises with every change"
	allowedPort    = "a port from 1 to 65535"
	allowedAddress = "an IPv4 or IPv6 unicast address without a zone, IPv4 in dotted form"
)

// ValidName reports whether s may name a service, team, region, data centre
// or host.
func ValidName(s string) bool { return strictyaml.ValidName(s) }

// ValidAddress reports whether packets can be sent to a.
func ValidAddress(a netip.Addr) bool {
	return a.IsValid() && !a.IsUnspecified() && !a.IsMulticast() && a.Zone() == "" && !a.Is4In6()
}

// checker collects the faults of a published value.
type checker struct{ strictyaml.Checker }

func (c *checker) version(value uint64) {
	c.Require(value > 0, "version", strconv.FormatUint(value, 10), allowedVersion)
}

func (c *checker) address(field string, value netip.Addr) {
	text := ""
	if value.IsValid() {
		text = value.String()
	}
	c.Require(ValidAddress(value), field, text, allowedAddress)
}

func (c *checker) port(field string, value uint16) {
	c.Require(value > 0, field, strconv.Itoa(int(value)), allowedPort)
}

func (s *Service) check() Faults {
	c := &checker{}
	c.Name("service", s.Name)
	c.version(s.Version)
	c.Name("team", s.Team)
	c.address("address", s.Address)
	c.port("port", s.Port)
	c.Require(s.Protocol == TCP || s.Protocol == UDP, "protocol", strictyaml.Quote(string(s.Protocol)), "tcp or udp")
	c.Name("region", s.Region)
	c.Duration("flow_idle", s.FlowIdle.Std(), MinFlowIdle, MaxFlowIdle)
	s.checkCommands(c)
	s.checkDataCentres(c)
	return c.Faults
}

func (s *Service) checkCommands(c *checker) {
	if s.Commands == nil {
		return
	}
	cmd := s.Commands
	c.address("commands.address", cmd.Address)
	c.port("commands.port", cmd.Port)
	c.Duration("commands.deadline", cmd.Deadline.Std(), minCommandTimeout, MaxCommandDeadline)
	same := s.Protocol == UDP && cmd.Address == s.Address && cmd.Port == s.Port
	c.Require(!same, "commands.port", strconv.Itoa(int(cmd.Port)), "another address or port than the service's own, which is UDP too")
	seen := map[string]bool{}
	for i, m := range cmd.IdempotentMethods {
		field := fmt.Sprintf("commands.idempotent_methods[%d]", i)
		c.Require(m != "" && len(m) <= MaxMethodBytes, field, strictyaml.Quote(m), fmt.Sprintf("a method name of 1 to %d bytes", MaxMethodBytes))
		c.Require(!seen[m], field, strictyaml.Quote(m), "each method once")
		seen[m] = true
	}
}

func (s *Service) checkDataCentres(c *checker) {
	n := len(s.DataCentres)
	c.Require(n >= 1 && n <= MaxDataCentres, "data_centres", fmt.Sprintf("%d data centres", n), fmt.Sprintf("1 to %d data centres", MaxDataCentres))
	names := map[string]bool{}
	addresses := map[netip.AddrPort]bool{}
	for i := range s.DataCentres {
		dc := &s.DataCentres[i]
		field := fmt.Sprintf("data_centres[%d]", i)
		c.Name(field+".name", dc.Name)
		c.Require(!names[dc.Name], field+".name", strictyaml.Quote(dc.Name), "each data centre once")
		names[dc.Name] = true
		c.Require(len(dc.BackendServers) > 0, field+".backend_servers", "", "at least one backend server")
		for j := range dc.BackendServers {
			b := &dc.BackendServers[j]
			bf := fmt.Sprintf("%s.backend_servers[%d]", field, j)
			s.checkBackend(c, bf, b)
			c.Require(!addresses[b.AddrPort()], bf+".address", b.AddrPort().String(), "each backend server address and port once")
			addresses[b.AddrPort()] = true
		}
	}
}

func (s *Service) checkBackend(c *checker, field string, b *BackendServer) {
	c.address(field+".address", b.Address)
	c.port(field+".port", b.Port)
	own := b.Address.IsValid() && (b.Address == s.Address || s.Commands != nil && b.Address == s.Commands.Address)
	c.Require(!own, field+".address", b.Address.String(), "another address than the service's own")
	if b.LoadURL != "" {
		c.Require(validLoadURL(b.LoadURL), field+".load_url", strictyaml.Quote(b.LoadURL), "an http or https URL with a host and without user information")
	}
	minSlots := 0
	if s.Commands != nil {
		minSlots = 1
	}
	c.Between(field+".connections", b.Connections, 1, MaxConnections)
	c.Between(field+".slots", b.Slots, minSlots, MaxSlots)
	c.Between(field+".cold.connections", b.Cold.Connections, 1, coldLimit(b.Connections, 1, MaxConnections))
	c.Between(field+".cold.slots", b.Cold.Slots, minSlots, coldLimit(b.Slots, minSlots, MaxSlots))
	c.Duration(field+".cold.ramp", b.Cold.Ramp.Std(), MinColdRamp, MaxColdRamp)
}

// coldLimit returns the upper bound of a value under cold: the full allowance,
// or the largest allowed value when the full allowance itself is invalid.
func coldLimit(full, smallest, largest int) int {
	if full < smallest || full > largest {
		return largest
	}
	return full
}

func validLoadURL(s string) bool {
	if len(s) > MaxLoadURLBytes {
		return false
	}
	u, err := url.Parse(s)
	if err != nil {
		return false
	}
	return (u.Scheme == "http" || u.Scheme == "https") && u.Hostname() != "" && u.User == nil && !strings.Contains(s, "#")
}

func (d *DataCentres) check() Faults {
	c := &checker{}
	c.version(d.Version)
	c.Require(len(d.Out) <= MaxDataCentres, "out", fmt.Sprintf("%d data centres", len(d.Out)), fmt.Sprintf("at most %d data centres", MaxDataCentres))
	seen := map[string]bool{}
	for i, name := range d.Out {
		field := fmt.Sprintf("out[%d]", i)
		c.Name(field, name)
		c.Require(!seen[name], field, strictyaml.Quote(name), "each data centre once")
		seen[name] = true
	}
	return c.Faults
}

func (l *HostList) check() Faults {
	c := &checker{}
	c.version(l.Version)
	c.Require(len(l.Hosts) > 0, "hosts", "", "at least one entry host")
	l.checkHosts(c)
	l.checkLeaving(c)
	return c.Faults
}

func (l *HostList) checkHosts(c *checker) {
	ids := map[string]bool{}
	endpoints := map[netip.AddrPort]bool{}
	for i := range l.Hosts {
		h := &l.Hosts[i]
		field := fmt.Sprintf("hosts[%d]", i)
		h.check(c, field)
		c.Require(!ids[h.ID], field+".id", strictyaml.Quote(h.ID), "each host id once")
		ids[h.ID] = true
		gue := netip.AddrPortFrom(h.Address, h.GUEPort)
		c.Require(!endpoints[h.PeerAddr()], field+".peer_port", h.PeerAddr().String(), "each address and port once")
		endpoints[h.PeerAddr()] = true
		c.Require(!endpoints[gue], field+".gue_port", gue.String(), "each address and port once")
		endpoints[gue] = true
	}
}

func (h *Host) check(c *checker, field string) {
	c.Name(field+".id", h.ID)
	c.Name(field+".data_centre", h.DataCentre)
	c.Name(field+".region", h.Region)
	c.address(field+".address", h.Address)
	c.port(field+".peer_port", h.PeerPort)
	c.port(field+".gue_port", h.GUEPort)
	c.Require(h.State == HostLive || h.State == HostLeaving, field+".state", strictyaml.Quote(string(h.State)), "live or leaving")
}

func (l *HostList) checkLeaving(c *checker) {
	seen := map[netip.AddrPort]bool{}
	for i, a := range l.LeavingBackends {
		field := fmt.Sprintf("leaving_backend_servers[%d]", i)
		c.Require(ValidAddress(a.Addr()) && a.Port() > 0, field, a.String(), allowedAddress+", and "+allowedPort)
		c.Require(!seen[a], field, a.String(), "each backend server once")
		seen[a] = true
	}
}
