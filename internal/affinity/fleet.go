package affinity

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Host is an entry host.
type Host struct {
	Addr       netip.AddrPort
	DataCentre string
	Region     string // of this host; not known of others
}

// Place is a service in a data centre.
type Place struct {
	Service    string
	DataCentre string
}

// PlaceDigest stands for a Place in hosts' messages, which names would make long. Places with one digest would be taken
// for equally busy; nothing else depends on it.
type PlaceDigest uint32

// Digest returns the digest of the place, the same on all hosts.
func (p Place) Digest() PlaceDigest {
	const mix = 0x9e3779b97f4a7c15 // odd, so that the service and the data centre do not cancel out
	return PlaceDigest((xxhash.Sum64String(p.Service)*mix ^ xxhash.Sum64String(p.DataCentre)) >> 32)
}

// Load is the number of open flows that a host remembers at the backend servers of a place.
type Load struct {
	Place PlaceDigest
	Flows int
}

// Fleet is what the host knows of the other entry hosts.
type Fleet struct {
	Self               Host
	Hosts              []Host              // the others, seen within the last minutes
	Size               int                 // hosts in the whole fleet, as far as anybody knows
	Starting           bool                // this host may know few of the others as yet, whatever Size says
	ConfirmedAt        time.Duration       // when the registry was last known to be the store's contents
	StoreUnavailableAt time.Duration       // when the store was last away from any host that tells it; negative: never
	Unreachable        map[string]bool     // data centres from whose hosts nothing arrives
	Flows              map[PlaceDigest]int // that the other hosts report
}

// confirmedSince returns for how long the store has confirmed the registry since a time and since it was away. Entries that
// the store lost meanwhile may take goneSettled to come back.
func (f *Fleet) confirmedSince(at time.Duration) time.Duration {
	return f.ConfirmedAt - max(at, f.StoreUnavailableAt)
}

// size returns the number of hosts in the fleet.
func (f *Fleet) size() int { return max(f.Size, len(f.Hosts)+1) }

// ranked reports whether this host is among the first n hosts of a data centre for a key, by rendezvous hash. A host that
// knows less than half of the fleet, as after its start, can't tell and is not.
func (f *Fleet) ranked(key, dataCentre string, n int) bool {
	if 2*(len(f.Hosts)+1) < f.size() {
		return false
	}
	if f.Self.DataCentre != dataCentre && f.has(dataCentre) {
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

func (f *Fleet) has(dataCentre string) bool {
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
