package configsync

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/kvstore"
)

// shardDepths is the number of characters of a service's name that select its
// shard, by the number of documents. A read of the platform then returns about
// a hundred documents at most when names are spread evenly.
var shardDepths = []struct {
	above int // documents
	hosts int // live hosts of the data centre that share the watches
}{
	{0, 0},
	{100, 0},
	{3000, 43}, // at most 1,370 shards x 2 / 43 = 64 watches per host
}

// depthSlack is the fraction by which documents or hosts must fall below the
// bound of a depth before it is left, so that the depth does not alternate.
const depthSlack = 5

// firstCharacters may begin the name of a service.
const firstCharacters = "abcdefghijklmnopqrstuvwxyz0123456789"

// Shards divides the keys of the platform between the hosts of a data centre.
// It remembers the last plan and what it was made for.
type Shards struct {
	depth     int
	documents int
	lists     int // host lists of one data centre
	hosts     []string
	plan      *kvstore.Plan
}

// Plan returns what a host reads of the platform, and nil while the keys are
// read as a whole. Hosts are the live ones of its data centre, itself
// included. Values are never removed, so their number shows whether the last
// plan still holds.
func (s *Shards) Plan(a *Accepted, self, dataCentre string, hosts []string) *kvstore.Plan {
	services := a.Services
	if s.documents == len(services) && s.lists == len(a.HostLists) && slices.Equal(s.hosts, hosts) {
		return s.plan
	}
	s.documents, s.lists, s.hosts = len(services), len(a.HostLists), slices.Clone(hosts)
	s.depth = nextDepth(s.depth, len(services), len(hosts))
	s.plan = nil
	if s.depth > 0 {
		s.plan = makePlan(a, s.depth, self, dataCentre, hosts)
	}
	return s.plan
}

func makePlan(a *Accepted, depth int, self, dataCentre string, hosts []string) *kvstore.Plan {
	plan := &kvstore.Plan{Shards: append(listShards(a.HostLists), shardsOf(a.Services, depth)...), Depth: depth}
	plan.PollsPerInterval = (len(plan.Shards) + len(hosts) - 1) / max(len(hosts), 1)
	ranks := newShardRanks(dataCentre, hosts)
	for _, shard := range plan.Shards {
		if ranks.watches(self, shard) {
			plan.Watch = append(plan.Watch, shard)
		}
	}
	return plan
}

// nextDepth returns the depth for a number of documents and hosts.
func nextDepth(depth, documents, hosts int) int {
	allowed := func(d, slack int) bool {
		bound := shardDepths[d]
		return documents > bound.above-bound.above/depthSlack*slack && hosts >= bound.hosts-bound.hosts/depthSlack*slack
	}
	for depth > 0 && !allowed(depth, 1) {
		depth--
	}
	for depth+1 < len(shardDepths) && allowed(depth+1, 0) {
		depth++
	}
	return depth
}

// listShards returns the shards of data centre state and host lists. When
// there are lists of one data centre each, they and the list of all are read
// one by one, and their names show new ones.
func listShards(dataCentres []string) []kvstore.Shard {
	shards := []kvstore.Shard{{Prefix: document.DataCentresKey}}
	if len(dataCentres) == 0 {
		return append(shards, kvstore.Shard{Prefix: document.HostsKey})
	}
	shards = append(shards, kvstore.Shard{Prefix: document.HostsKey, Scope: kvstore.ScopeNames}, kvstore.Shard{Prefix: document.HostsKey, Scope: kvstore.ScopeKey})
	for _, dc := range dataCentres {
		shards = append(shards, kvstore.Shard{Prefix: document.HostsKeyPrefix + dc, Scope: kvstore.ScopeKey})
	}
	return shards
}

// shardsOf returns the shards of documents at a depth. At depth 2 they are those that hold
// a known document, and for each first character a list of names that shows
// new ones. A shard without values would not do: the platform answers it with
// the index of the whole store, so that every change ends a blocking read of
// it, 14 reads for each of about a thousand unused pairs of characters.
func shardsOf(services map[string]*document.Service, depth int) []kvstore.Shard {
	var shards []kvstore.Shard
	below := shardsBelow(services, depth)
	for _, c := range firstCharacters {
		prefix := document.ServiceKeyPrefix + string(c)
		if depth == 1 || len(below[prefix]) == 0 {
			shards = append(shards, kvstore.Shard{Prefix: prefix})
			continue
		}
		shards = append(shards, kvstore.Shard{Prefix: prefix, Scope: kvstore.ScopeNames})
		found := slices.Collect(maps.Keys(below[prefix]))
		slices.SortFunc(found, func(a, b kvstore.Shard) int { return strings.Compare(a.Prefix, b.Prefix) })
		shards = append(shards, found...)
	}
	return shards
}

// shardsBelow returns the shards of known documents by the prefix of their
// first character.
func shardsBelow(services map[string]*document.Service, depth int) map[string]map[kvstore.Shard]bool {
	below := map[string]map[kvstore.Shard]bool{}
	if depth == 1 {
		return below
	}
	for name := range services {
		first := document.ServiceKeyPrefix + name[:1]
		if below[first] == nil {
			below[first] = map[kvstore.Shard]bool{}
		}
		shard := kvstore.Shard{Prefix: document.ServiceKeyPrefix + name[:min(depth, len(name))]}
		if len(name) < depth {
			shard.Scope = kvstore.ScopeKey
		}
		below[first][shard] = true
	}
	return below
}

// shardRanks ranks the hosts of a data centre by rendezvous hash of a shard.
type shardRanks struct {
	seed   uint64
	hosts  []string
	hashes []uint64
}

func newShardRanks(dataCentre string, hosts []string) *shardRanks {
	r := &shardRanks{seed: xxhash.Sum64String(dataCentre), hosts: hosts, hashes: make([]uint64, len(hosts))}
	for i, id := range hosts {
		r.hashes[i] = xxhash.Sum64String(id)
	}
	return r
}

// watches reports whether a host is one of the highest-ranked of a shard.
func (r *shardRanks) watches(self string, shard kvstore.Shard) bool {
	hash := r.seed ^ xxhash.Sum64String(shard.Prefix) + uint64(shard.Scope)
	own := rankOf(hash, xxhash.Sum64String(self))
	above := 0
	for i, id := range r.hosts {
		rank := rankOf(hash, r.hashes[i])
		if id != self && (rank > own || rank == own && id < self) {
			above++
		}
		if above >= ReadersPerDataCentre {
			return false
		}
	}
	return true
}

func rankOf(shard, host uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], shard)
	binary.BigEndian.PutUint64(b[8:], host)
	return xxhash.Sum64(b[:])
}
