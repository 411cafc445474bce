package health

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// maxRanked bounds the backend servers whose ranks a Ranking keeps, since it
// does not learn which of them have left the documents.
const maxRanked = 1 << 17

// Ranking returns what Observers returns, and keeps the result while the live
// entry hosts do not change. A host that joins costs one hash per backend
// server of its data centre, and one that leaves a new ranking of the backend
// servers that it was an observer of. It is not safe for concurrent use.
type Ranking struct {
	centres map[string]*centre
	kept    int
}

// centre is a data centre with its live entry hosts. The centre of the empty
// name has all hosts.
type centre struct {
	hosts  map[string]bool
	ranked map[netip.AddrPort][]rankedHost
}

type rankedHost struct {
	id   string
	hash uint64
}

// NewRanking returns a Ranking without hosts.
func NewRanking() *Ranking { return &Ranking{centres: map[string]*centre{}} }

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
			r.centres[dc] = &centre{hosts: ids, ranked: map[netip.AddrPort][]rankedHost{}}
		}
	}
}

// HasHosts reports whether a data centre has live entry hosts. Those of other
// data centres observe backend servers only where there are none.
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

func (c *centre) setHosts(hosts map[string]bool) {
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

func (c *centre) remove(id string) {
	for addr, list := range c.ranked {
		if slices.ContainsFunc(list, func(h rankedHost) bool { return h.id == id }) {
			delete(c.ranked, addr)
		}
	}
}

func (c *centre) add(id string) {
	for addr, list := range c.ranked {
		c.ranked[addr] = insertRanked(list, rankedHost{id, xxhash.Sum64String(rankKey(addr) + id)})
	}
}

func (c *centre) rank(addr netip.AddrPort) []rankedHost {
	list := make([]rankedHost, 0, observersPerBackend)
	key := rankKey(addr)
	for id := range c.hosts {
		list = insertRanked(list, rankedHost{id, xxhash.Sum64String(key + id)})
	}
	return list
}

// insertRanked inserts a host in order and keeps as many as there are observers.
func insertRanked(list []rankedHost, h rankedHost) []rankedHost {
	i, _ := slices.BinarySearchFunc(list, h, compareRanked)
	if i >= observersPerBackend {
		return list
	}
	list = slices.Insert(list, i, h)
	return list[:min(len(list), observersPerBackend)]
}

// compareRanked puts the higher hash first.
func compareRanked(a, b rankedHost) int {
	return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id))
}

func rankKey(addr netip.AddrPort) string { return addr.String() + "\x00observer\x00" }
