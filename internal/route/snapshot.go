// Package route decides for each packet where it goes: which entry hosts own
// its flow, which backend server serves it and what is sent to whom. It does
// no I/O and reads no clock.
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

// NoHost stands in an owner table for a missing owner.
const NoHost = 0xFFFF

// Time is nanoseconds since process start, from a monotonic clock.
type Time int64

// seconds returns t in the unit of flow.Entry.LastSeen.
func (t Time) seconds() uint32 { return uint32(t / Time(time.Second)) }

// milliseconds returns t in the unit of flow.Entry.Since, which wraps after 49 days.
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
	Boot                   uint64 // differs after a restart, which empties the host's table
	Leaving                bool   // owns nothing
	Suspect                bool   // remains an owner, but is not asked
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
	Index             uint32 // number of the name, never reused in a process
	Addr, CommandAddr ServiceAddr
	Backends          []*Backend
	FlowIdle          time.Duration
	Seed              uint64
	group             []int
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

// Traffic counts what passed between this host and a backend server. The
// goroutines that move packets count; the control loop reads.
type Traffic struct {
	Opened  atomic.Int64 // packets that open a flow
	Replies atomic.Int64
	Resets  atomic.Int64
}
