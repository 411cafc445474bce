// Package document defines the values that the platform publishes: service
// documents, data centre state and the list of entry hosts. It parses and
// checks them, and reports every fault of a value at once.
package document

import (
	"net/netip"
	"time"
)

// Keys under which the platform publishes values, below its prefix.
const (
	ServiceKeyPrefix = "services/"
	DataCentresKey   = "datacentres"
	HostsKey         = "hosts"
	HostsKeyPrefix   = "hosts/" // followed by the data centre whose hosts the list holds
)

// MaxValueBytes is the size limit of one value on the platform.
const MaxValueBytes = 1 << 20

// MaxCommandDeadline bounds the deadline of commands, so that a graceful
// shutdown can wait for every command in progress.
const MaxCommandDeadline = 15 * time.Second

// Protocol is the transport protocol of a service's packets.
type Protocol string

// Protocols of services.
const (
	TCP Protocol = "tcp"
	UDP Protocol = "udp"
)

// Service is the document that a team writes for its service.
type Service struct {
	Name        string       `yaml:"service"`
	Version     uint64       `yaml:"version"`
	Team        string       `yaml:"team"`
	Address     netip.Addr   `yaml:"address"`
	Port        uint16       `yaml:"port"`
	Protocol    Protocol     `yaml:"protocol"`
	Region      string       `yaml:"region"`
	Commands    *Commands    `yaml:"commands,omitempty"`
	FlowIdle    Duration     `yaml:"flow_idle"`
	DataCentres []DataCentre `yaml:"data_centres"`
}

// FlowAddr returns the address that callers of flows send to.
func (s *Service) FlowAddr() netip.AddrPort {
	return netip.AddrPortFrom(s.Address, s.Port)
}

// Commands describes the JSON-RPC 2.0 commands of a service.
type Commands struct {
	Address           netip.Addr `yaml:"address"`
	Port              uint16     `yaml:"port"`
	Deadline          Duration   `yaml:"deadline"`
	IdempotentMethods []string   `yaml:"idempotent_methods,omitempty"`
}

// AddrPort returns the address that callers of commands send to.
func (c *Commands) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(c.Address, c.Port)
}

// DataCentre lists the backend servers of a service in one data centre.
type DataCentre struct {
	Name           string          `yaml:"name"`
	BackendServers []BackendServer `yaml:"backend_servers"`
}

// BackendServer is one backend server of a service with its capacity limits.
type BackendServer struct {
	Address     netip.Addr `yaml:"address"`
	Port        uint16     `yaml:"port"`
	LoadURL     string     `yaml:"load_url,omitempty"`
	Connections int        `yaml:"connections"`
	Slots       int        `yaml:"slots"`
	Cold        Cold       `yaml:"cold"`
	Draining    bool       `yaml:"draining,omitempty"`
}

// AddrPort returns the address that receives encapsulated packets.
func (b *BackendServer) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(b.Address, b.Port)
}

// Cold holds the capacity limits of a backend server just after its start, and
// the time over which they rise to the full limits.
type Cold struct {
	Connections int      `yaml:"connections"`
	Slots       int      `yaml:"slots"`
	Ramp        Duration `yaml:"ramp"`
}

// DataCentres says which data centres are out of service.
type DataCentres struct {
	Version uint64   `yaml:"version"`
	Out     []string `yaml:"out"`
}

// HostState is the state of an entry host on the platform's list.
type HostState string

// States of hosts on the platform's list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry host on the platform's list.
type Host struct {
	ID         string     `yaml:"id"`
	DataCentre string     `yaml:"data_centre"`
	Region     string     `yaml:"region"`
	Address    netip.Addr `yaml:"address"`
	PeerPort   uint16     `yaml:"peer_port"`
	GUEPort    uint16     `yaml:"gue_port"`
	State      HostState  `yaml:"state"`
}

// PeerAddr returns the address for messages from other entry hosts.
func (h *Host) PeerAddr() netip.AddrPort {
	return netip.AddrPortFrom(h.Address, h.PeerPort)
}

// HostList is the platform's list of entry hosts and of backend servers that
// are leaving. It may lag behind the actual state of the hosts.
type HostList struct {
	Version         uint64           `yaml:"version"`
	Hosts           []Host           `yaml:"hosts"`
	LeavingBackends []netip.AddrPort `yaml:"leaving_backend_servers,omitempty"`
}
