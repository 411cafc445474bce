// Package route decides where each packet goes: which entry hosts own its flow,
// which backend server serves it, and which packets are forwarded to which host.
// It does no I/O and reads no clock.
package route

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// Buckets is the number of buckets that a service's flows are divided into.
const Buckets = 256

// NoHost is the host index of a missing owner in an owner table.
const NoHost = 0xFFFF

// Time is nanoseconds since process start, from a monotonic clock.
type Time int64

// seconds returns t in the unit of flow.Entry.LastSeen.
func (t Time) seconds() uint32 { return uint32(t / Time(time.Second)) }

// milliseconds returns t in the unit of flow.Entry.RefreshedAt, which wraps after 49 days.
func (t Time) milliseconds() uint32 { return uint32(t / Time(time.Millisecond)) }

// Snapshot is everything that decisions about packets depend on. It is
// immutable after publication.
type Snapshot struct {
	Self, SelfDC string
	SelfIndex    uint16         // NoHost when this host is not among Hosts
	SelfPeer     netip.AddrPort // where other entry hosts reach this one
	Hosts        []Host         // index = host index; entries with an empty ID are free
	Services     Index[ServiceAddr, *Service]
	Backends     Index[netip.AddrPort, *Backend]
	ByName       Index[string, *Service]
	Serving      bool // false while a pause or start check is outstanding: traffic is dropped
}

// Host is one live entry host.
type Host struct {
	ID, DataCentre, Region string
	Peer                   netip.AddrPort
	Boot                   uint64 // changes with a restart, which empties the host's table
	Leaving                bool   // owns no buckets
	Suspect                bool   // remains an owner, but is not available for lookups
}

// ServiceAddr is an address that callers send to.
type ServiceAddr struct {
	Addr  netip.Addr
	Port  uint16
	Proto uint8
}

// destination returns the service address that packets of flow k go to.
func destination(k packet.Key) ServiceAddr {
	return ServiceAddr{Addr: netip.AddrFrom16(k.Dst).Unmap(), Port: k.DstPort, Proto: k.Proto}
}

// Service is one service with its owners and backend servers.
type Service struct {
	Name              string
	Region            string
	Index             uint32 // number of the name, never reused while the process runs
	Addr, CommandAddr ServiceAddr
	Backends          []*Backend
	FlowIdle          time.Duration
	Seed              uint64 // hash of Name
	group             []int  // host indexes of the owner group
	table             ownerTable
}

// InGroup reports whether a host is in the service's owner group.
func (s *Service) InGroup(host uint16) bool {
	return host != NoHost && slices.Contains(s.group, int(host))
}

// Group returns the host indexes of the owner group. It must not be changed.
func (s *Service) Group() []int { return s.group }

// Backend is one backend server of a service.
type Backend struct {
	BackendConfig
	Service *Service
	seed    uint64
}

// Traffic counts packets between this host and a backend server. The goroutines
// that forward packets increment the counters; the control loop reads them.
type Traffic struct {
	Opened  atomic.Int64 // packets that open a flow
	Replies atomic.Int64
	Resets  atomic.Int64
}
