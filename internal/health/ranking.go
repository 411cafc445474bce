package health

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// maxRanked limits the number of backend servers in the cache of a Ranking, which
// is not informed when backend servers are removed from the documents.
const maxRanked = 1 << 17

// Ranking ranks observers like the function Observers and caches the results. A
// host that joins costs one hash per cached backend server of its data centre. A
// host that leaves invalidates the backend servers that it was an observer of.
// Ranking is not safe for concurrent use.
type Ranking struct {
	centres map[string]*dataCentre
	kept    int // cached backend servers of all data centres
}

// dataCentre holds the live entry hosts of a data centre and its cached rankings.
// The one with the empty name has the hosts of all data centres.
type dataCentre struct {
	hosts  map[string]bool
	ranked map[netip.AddrPort][]rankedHost
}

type rankedHost struct {
	id   string
	hash uint64
}

// NewRanking returns a Ranking without hosts.
func NewRanking() *Ranking { return &Ranking{centres: map[string]*dataCentre{}} }

// SetHosts replaces the live entry hosts.
func (r *Ranking) SetHosts(hosts []document.Host) {
	next := map[string]map[string]bool{"": {}}
	for i := range hosts {
		h := &hosts[i]
		if h.State == document.HostLeaving {
			continue
		}
		if next[h.DataCentre] == nil {
			next[h.DataCentre] = map[string]bool{}
		}
		next[h.DataCentre][h.ID] = true
		next[""][h.ID] = true
	}
	for dc, c := range r.centres {
		r.kept -= len(c.ranked)
		c.setHosts(next[dc])
		r.kept += len(c.ranked)
		if next[dc] == nil {
			delete(r.centres, dc)
		}
	}
	for dc, ids := range next {
		if r.centres[dc] == nil {
			r.centres[dc] = &dataCentre{hosts: ids, ranked: map[netip.AddrPort][]rankedHost{}}
		}
	}
}

// HasHosts reports whether a data centre has live entry hosts. Hosts of other data
// centres observe its backend servers only if it has none.
func (r *Ranking) HasHosts(dc string) bool { return r.centres[dc] != nil }

// Observers returns the ranked observers of a backend server.
func (r *Ranking) Observers(addr netip.AddrPort, dc string) []string {
	c := r.centres[dc]
	if c == nil {
		c = r.centres[""]
	}
	if c == nil {
		return nil
	}
	list, ok := c.ranked[addr]
	if !ok {
		if r.kept >= maxRanked {
			r.clear()
		}
		list = c.rank(addr)
		c.ranked[addr] = list
		r.kept++
	}
	ids := make([]string, len(list))
	for i := range list {
		ids[i] = list[i].id
	}
	return ids
}

func (r *Ranking) clear() {
	for _, c := range r.centres {
		clear(c.ranked)
	}
	r.kept = 0
}

func (c *dataCentre) setHosts(hosts map[string]bool) {
	old := c.hosts
	c.hosts = hosts
	for id := range old {
		if !hosts[id] {
			c.remove(id)
		}
	}
	for id := range hosts {
		if !old[id] {
			c.add(id)
		}
	}
}

func (c *dataCentre) remove(id string) {
	for addr, list := range c.ranked {
		if slices.ContainsFunc(list, func(h rankedHost) bool { return h.id == id }) {
			delete(c.ranked, addr)
		}
	}
}

func (c *dataCentre) add(id string) {
	for addr, list := range c.ranked {
		c.ranked[addr] = insertRanked(list, rankedHost{id, xxhash.Sum64String(rankKey(addr) + id)})
	}
}

func (c *dataCentre) rank(addr netip.AddrPort) []rankedHost {
	list := make([]rankedHost, 0, observersPerBackend)
	key := rankKey(addr)
	for id := range c.hosts {
		list = insertRanked(list, rankedHost{id, xxhash.Sum64String(key + id)})
	}
	return list
}

// insertRanked inserts a host into a ranked list and truncates the list to
// observersPerBackend.
func insertRanked(list []rankedHost, h rankedHost) []rankedHost {
	i, _ := slices.BinarySearchFunc(list, h, compareRanked)
	if i >= observersPerBackend {
		return list
	}
	list = slices.Insert(list, i, h)
	return list[:min(len(list), observersPerBackend)]
}

// compareRanked orders hosts by descending hash.
func compareRanked(a, b rankedHost) int {
	return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id))
}

func rankKey(addr netip.AddrPort) string { return addr.String() + "\x00observer\x00" }
