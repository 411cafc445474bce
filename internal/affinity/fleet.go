package affinity

import (
	"net/netip"

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

// Load is the number of open flows that a host remembers at the backend servers of a place.
type Load struct {
	Place
	Flows int
}

// Fleet is what the host knows of the other entry hosts.
type Fleet struct {
	Self        Host
	Hosts       []Host          // the others, seen within the last minutes
	Unreachable map[string]bool // data centres from whose hosts nothing arrives
	Flows       map[Place]int   // flows that the other hosts report
}

// ranked reports whether this host is among the first n hosts of a data centre for a key, by rendezvous hash.
func (f *Fleet) ranked(key, dataCentre string, n int) bool {
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
