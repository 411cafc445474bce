package affinity

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/work"
)

// Host is an entry host.
type Host struct {
	Addr       netip.AddrPort
	DataCentre string
	Region     string // set for this host only
}

// Place is a service in a data centre.
type Place struct {
	Service    string
	DataCentre string
}

// PlaceDigest identifies a Place in messages between hosts, which full names would make too long. Two places with the same
// digest would be treated as equally loaded; nothing else depends on it.
type PlaceDigest uint32

// Digest returns the digest of the place, which is the same on all hosts.
func (p Place) Digest() PlaceDigest {
	const mix = 0x9e3779b97f4a7c15 // odd multiplier, so that equal names of service and data centre do not cancel out
	return PlaceDigest((xxhash.Sum64String(p.Service)*mix ^ xxhash.Sum64String(p.DataCentre)) >> 32)
}

// Load is the number of open flows that a host tracks to the backend servers of a place.
type Load struct {
	Place PlaceDigest
	Flows int
}

// Fleet is the state of the other entry hosts and of the store, as known to this host.
type Fleet struct {
	Self        Host
	Hosts       []Host        // the other hosts, seen within the last few minutes
	Size        int           // hosts in the whole fleet, the number known to this host or reported to it
	Starting    bool          // this host may not have discovered most of the others yet, whatever Size is
	ConfirmedAt time.Duration // last time at which the registry was confirmed to match the store
	// StoreOutageAt is the last time at which the store was, or may have been, unavailable to this host or to a host that
	// reported it; negative: never.
	StoreOutageAt time.Duration
	Unreachable   map[string]bool     // data centres whose hosts this host receives no messages from
	Flows         map[PlaceDigest]int // open flows by place, as reported by the other hosts
	Work          work.Shared         // what other hosts know of the work at backend servers
	ChooseByWork  bool                // expected work counts for services with a target latency
}

// confirmedSince returns for how long the store has confirmed the registry, counted from the later of at and the last time
// the store was unavailable. Entries that the store lost while unavailable may take up to removalGrace to return.
func (f *Fleet) confirmedSince(at time.Duration) time.Duration {
	return f.ConfirmedAt - max(at, f.StoreOutageAt)
}

// size returns the number of hosts in the fleet, which is at least the number of known ones.
func (f *Fleet) size() int { return max(f.Size, len(f.Hosts)+1) }

// ranked reports whether this host is among the first n hosts of a data centre for a key, by rendezvous hash. If no host of
// that data centre is known, the hosts of this host's own one are ranked instead. A host that knows less than half of the
// fleet, such as one that has just started, cannot compute its rank and returns false.
func (f *Fleet) ranked(key, dataCentre string, n int) bool {
	if 2*(len(f.Hosts)+1) < f.size() {
		return false
	}
	if f.Self.DataCentre != dataCentre && f.hasHostIn(dataCentre) {
		return false
	}
	own := rendezvous(key, f.Self.Addr)
	before := 0
	for _, h := range f.Hosts {
		if h.DataCentre == f.Self.DataCentre && rendezvous(key, h.Addr) > own {
			before++
		}
	}
	return before < n
}

func (f *Fleet) hasHostIn(dataCentre string) bool {
	for _, h := range f.Hosts {
		if h.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

func rendezvous(key string, host netip.AddrPort) uint64 {
	return xxhash.Sum64String(key + "/" + host.String())
}
