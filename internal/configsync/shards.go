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

// shardDepths holds the conditions of each depth. The depth is the number of
// characters of a service's name that select its shard; at depth 0 all keys are
// read at once. If names are spread evenly, a read of the platform returns about
// a hundred documents at most.
var shardDepths = []struct {
	documentsAbove int // the number of documents must exceed this
	hosts          int // least number of live hosts of the data centre, which share the watches
}{
	{0, 0},
	{100, 0},
	{3000, 43}, // at most 1,370 shards x 2 / 43 = 64 watches per host
}

// depthHysteresis is a divisor. The depth decreases only when documents or hosts
// are below its bound by the bound divided by it, so that it does not alternate.
const depthHysteresis = 5

// firstCharacters are the characters that the name of a service may begin with.
const firstCharacters = "abcdefghijklmnopqrstuvwxyz0123456789"

// Shards divides the keys of the platform among the hosts of a data centre. It
// caches the last plan and the inputs that it was made from.
type Shards struct {
	depth     int
	documents int
	lists     int // host lists that are of one data centre each
	hosts     []string
	plan      *kvstore.Plan
}

// Plan returns the shards that the host self reads from the platform, or nil
// while all keys are read at once. hosts are the live hosts of its data centre,
// including itself. Values are never removed, so the cached plan is valid as
// long as their number and the hosts are the same.
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
	plan := &kvstore.Plan{Shards: append(hostListShards(a.HostLists), serviceShards(a.Services, depth)...), Depth: depth}
	plan.PollsPerInterval = (len(plan.Shards) + len(hosts) - 1) / max(len(hosts), 1)
	ranks := newShardRanks(dataCentre, hosts)
	for _, shard := range plan.Shards {
		if ranks.watches(self, shard) {
			plan.Watch = append(plan.Watch, shard)
		}
	}
	return plan
}

// nextDepth returns the depth that follows depth for a number of documents and
// hosts.
func nextDepth(depth, documents, hosts int) int {
	allowed := func(d, slack int) bool {
		bound := shardDepths[d]
		return documents > bound.documentsAbove-bound.documentsAbove/depthHysteresis*slack && hosts >= bound.hosts-bound.hosts/depthHysteresis*slack
	}
	for depth > 0 && !allowed(depth, 1) {
		depth--
	}
	for depth+1 < len(shardDepths) && allowed(depth+1, 0) {
		depth++
	}
	return depth
}

// hostListShards returns the shards of data centre state and host lists. If data
// centres have lists of their own, these and the list of all data centres are
// separate shards, and a shard of their names shows new lists.
func hostListShards(dataCentres []string) []kvstore.Shard {
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

// serviceShards returns the shards of documents at a depth. At depth 2 they are
// the pairs of characters that a known document begins with, and for each first
// character a shard of names that shows new documents. Pairs without documents
// get no shard: the platform answers a read without values with the index of the
// whole store, so that every change would end the blocking reads of such shards,
// 14 reads for each of about a thousand unused pairs of characters.
func serviceShards(services map[string]*document.Service, depth int) []kvstore.Shard {
	var shards []kvstore.Shard
	byFirst := shardsByFirstCharacter(services, depth)
	for _, c := range firstCharacters {
		prefix := document.ServiceKeyPrefix + string(c)
		if depth == 1 || len(byFirst[prefix]) == 0 {
			shards = append(shards, kvstore.Shard{Prefix: prefix})
			continue
		}
		shards = append(shards, kvstore.Shard{Prefix: prefix, Scope: kvstore.ScopeNames})
		found := slices.Collect(maps.Keys(byFirst[prefix]))
		slices.SortFunc(found, func(a, b kvstore.Shard) int { return strings.Compare(a.Prefix, b.Prefix) })
		shards = append(shards, found...)
	}
	return shards
}

// shardsByFirstCharacter returns the shards of known documents, by the prefix
// that ends with the first character of their names. At depth 1 it returns none.
func shardsByFirstCharacter(services map[string]*document.Service, depth int) map[string]map[kvstore.Shard]bool {
	byFirst := map[string]map[kvstore.Shard]bool{}
	if depth == 1 {
		return byFirst
	}
	for name := range services {
		first := document.ServiceKeyPrefix + name[:1]
		if byFirst[first] == nil {
			byFirst[first] = map[kvstore.Shard]bool{}
		}
		shard := kvstore.Shard{Prefix: document.ServiceKeyPrefix + name[:min(depth, len(name))]}
		if len(name) < depth {
			shard.Scope = kvstore.ScopeKey
		}
		byFirst[first][shard] = true
	}
	return byFirst
}

// shardRanks ranks the hosts of a data centre for a shard by rendezvous hash.
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

// watches reports whether self is one of the ReadersPerDataCentre highest-ranked
// hosts of a shard.
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
