package document

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Bounds of the fields of documents.
const (
	MaxNameBytes      = 63
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
	allowedName    = "1 to 63 lower-case letters, digits and hyphens, starting and ending with a letter or digit"
	allowedVersion = "an integer from 1 that rises with every change"
	allowedPort    = "a port from 1 to 65535"
	allowedAddress = "an IPv4 or IPv6 unicast address without a zone, IPv4 in dotted form"
)

// ValidName reports whether s may name a service, team, region, data centre
// or host.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxNameBytes || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if c != '-' && (c < 'a' || c > 'z') && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

// ValidAddress reports whether packets can be sent to a.
func ValidAddress(a netip.Addr) bool {
	return a.IsValid() && !a.IsUnspecified() && !a.IsMulticast() && a.Zone() == "" && !a.Is4In6()
}

// checker collects the faults of a value.
type checker struct{ faults Faults }

func (c *checker) name(field, value string) {
	c.require(ValidName(value), field, quote(value), allowedName)
}

func (c *checker) version(value uint64) {
	c.require(value > 0, "version", strconv.FormatUint(value, 10), allowedVersion)
}

func (c *checker) address(field string, value netip.Addr) {
	text := ""
	if value.IsValid() {
		text = value.String()
	}
	c.require(ValidAddress(value), field, text, allowedAddress)
}

func (c *checker) port(field string, value uint16) {
	c.require(value > 0, field, strconv.Itoa(int(value)), allowedPort)
}

func (c *checker) between(field string, value, low, high int) {
	c.require(value >= low && value <= high, field, strconv.Itoa(value), fmt.Sprintf("%d to %d", low, high))
}

func (c *checker) duration(field string, value Duration, low, high time.Duration) {
	ok := value.Std() >= low && value.Std() <= high
	c.require(ok, field, value.Std().String(), fmt.Sprintf("%v to %v", low, high))
}

func (c *checker) require(ok bool, field, value, allowed string) {
	if !ok {
		c.faults.Invalid(field, value, allowed)
	}
}

func quote(s string) string {
	if s == "" {
		return ""
	}
	return strconv.Quote(s)
}

func (s *Service) check() Faults {
	c := &checker{}
	c.name("service", s.Name)
	c.version(s.Version)
	c.name("team", s.Team)
	c.address("address", s.Address)
	c.port("port", s.Port)
	c.require(s.Protocol == TCP || s.Protocol == UDP, "protocol", quote(string(s.Protocol)), "tcp or udp")
	c.name("region", s.Region)
	c.duration("flow_idle", s.FlowIdle, MinFlowIdle, MaxFlowIdle)
	s.checkCommands(c)
	s.checkDataCentres(c)
	return c.faults
}

func (s *Service) checkCommands(c *checker) {
	if s.Commands == nil {
		return
	}
	cmd := s.Commands
	c.address("commands.address", cmd.Address)
	c.port("commands.port", cmd.Port)
	c.duration("commands.deadline", cmd.Deadline, minCommandTimeout, MaxCommandDeadline)
	same := s.Protocol == UDP && cmd.Address == s.Address && cmd.Port == s.Port
	c.require(!same, "commands.port", strconv.Itoa(int(cmd.Port)), "another address or port than the service's own, which is UDP too")
	seen := map[string]bool{}
	for i, m := range cmd.IdempotentMethods {
		field := fmt.Sprintf("commands.idempotent_methods[%d]", i)
		c.require(m != "" && len(m) <= MaxMethodBytes, field, quote(m), fmt.Sprintf("a method name of 1 to %d bytes", MaxMethodBytes))
		c.require(!seen[m], field, quote(m), "each method once")
		seen[m] = true
	}
}

func (s *Service) checkDataCentres(c *checker) {
	n := len(s.DataCentres)
	c.require(n >= 1 && n <= MaxDataCentres, "data_centres", fmt.Sprintf("%d data centres", n), fmt.Sprintf("1 to %d data centres", MaxDataCentres))
	names := map[string]bool{}
	addresses := map[netip.AddrPort]bool{}
	for i := range s.DataCentres {
		dc := &s.DataCentres[i]
		field := fmt.Sprintf("data_centres[%d]", i)
		c.name(field+".name", dc.Name)
		c.require(!names[dc.Name], field+".name", quote(dc.Name), "each data centre once")
		names[dc.Name] = true
		c.require(len(dc.BackendServers) > 0, field+".backend_servers", "", "at least one backend server")
		for j := range dc.BackendServers {
			b := &dc.BackendServers[j]
			bf := fmt.Sprintf("%s.backend_servers[%d]", field, j)
			s.checkBackend(c, bf, b)
			c.require(!addresses[b.AddrPort()], bf+".address", b.AddrPort().String(), "each backend server address and port once")
			addresses[b.AddrPort()] = true
		}
	}
}

func (s *Service) checkBackend(c *checker, field string, b *BackendServer) {
	c.address(field+".address", b.Address)
	c.port(field+".port", b.Port)
	own := b.Address.IsValid() && (b.Address == s.Address || s.Commands != nil && b.Address == s.Commands.Address)
	c.require(!own, field+".address", b.Address.String(), "another address than the service's own")
	if b.LoadURL != "" {
		c.require(validLoadURL(b.LoadURL), field+".load_url", quote(b.LoadURL), "an http or https URL with a host and without user information")
	}
	minSlots := 0
	if s.Commands != nil {
		minSlots = 1
	}
	c.between(field+".connections", b.Connections, 1, MaxConnections)
	c.between(field+".slots", b.Slots, minSlots, MaxSlots)
	c.between(field+".cold.connections", b.Cold.Connections, 1, limitOr(b.Connections, 1, MaxConnections))
	c.between(field+".cold.slots", b.Cold.Slots, minSlots, limitOr(b.Slots, minSlots, MaxSlots))
	c.duration(field+".cold.ramp", b.Cold.Ramp, MinColdRamp, MaxColdRamp)
}

// limitOr returns the bound of a cold figure: the full figure, or the largest
// allowed one when the full figure itself is invalid.
func limitOr(full, smallest, largest int) int {
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
	c.require(len(d.Out) <= MaxDataCentres, "out", fmt.Sprintf("%d data centres", len(d.Out)), fmt.Sprintf("at most %d data centres", MaxDataCentres))
	seen := map[string]bool{}
	for i, name := range d.Out {
		field := fmt.Sprintf("out[%d]", i)
		c.name(field, name)
		c.require(!seen[name], field, quote(name), "each data centre once")
		seen[name] = true
	}
	return c.faults
}

func (l *HostList) check() Faults {
	c := &checker{}
	c.version(l.Version)
	c.require(len(l.Hosts) > 0, "hosts", "", "at least one entry host")
	ids := map[string]bool{}
	endpoints := map[netip.AddrPort]bool{}
	for i := range l.Hosts {
		h := &l.Hosts[i]
		field := fmt.Sprintf("hosts[%d]", i)
		h.check(c, field)
		c.require(!ids[h.ID], field+".id", quote(h.ID), "each host id once")
		ids[h.ID] = true
		gue := netip.AddrPortFrom(h.Address, h.GUEPort)
		c.require(!endpoints[h.PeerAddr()], field+".peer_port", h.PeerAddr().String(), "each address and port once")
		endpoints[h.PeerAddr()] = true
		c.require(!endpoints[gue], field+".gue_port", gue.String(), "each address and port once")
		endpoints[gue] = true
	}
	l.checkLeaving(c)
	return c.faults
}

func (h *Host) check(c *checker, field string) {
	c.name(field+".id", h.ID)
	c.name(field+".data_centre", h.DataCentre)
	c.name(field+".region", h.Region)
	c.address(field+".address", h.Address)
	c.port(field+".peer_port", h.PeerPort)
	c.port(field+".gue_port", h.GUEPort)
	c.require(h.State == HostLive || h.State == HostLeaving, field+".state", quote(string(h.State)), "live or leaving")
}

func (l *HostList) checkLeaving(c *checker) {
	seen := map[netip.AddrPort]bool{}
	for i, a := range l.LeavingBackends {
		field := fmt.Sprintf("leaving_backend_servers[%d]", i)
		c.require(ValidAddress(a.Addr()) && a.Port() > 0, field, a.String(), allowedAddress+", and "+allowedPort)
		c.require(!seen[a], field, a.String(), "each backend server once")
		seen[a] = true
	}
}
