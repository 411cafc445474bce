package configsync

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
	"github.com/nutmeglatch/nutmeglatch/internal/kvstore"
)

// randomServices returns n services whose names begin with random characters.
func randomServices(n int) map[string]*document.Service {
	random := rand.New(rand.NewPCG(1, 1))
	services := map[string]*document.Service{}
	for i := range n {
		name := fmt.Sprintf("%c%c%d", firstCharacters[random.IntN(len(firstCharacters))], firstCharacters[random.IntN(len(firstCharacters))], i)
		services[name] = nil
	}
	return services
}

func hostNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("host-%d", i)
	}
	return names
}

// TestShardDepth guards against sharding a platform of up to 100 documents,
// against a depth that alternates at its bound, and against depth 2 in a data
// centre with too few hosts, each of which would have too many watches.
func TestShardDepth(t *testing.T) {
	rows := []struct{ before, documents, hosts, want int }{
		{0, 0, 1, 0}, {0, 100, 7, 0}, {0, 101, 7, 1}, {1, 81, 7, 1}, {1, 80, 7, 0},
		{0, 3000, 800, 1}, {0, 3001, 800, 2}, {1, 3001, 43, 2}, {2, 2401, 800, 2}, {2, 2400, 800, 1},
		{1, 6900, 42, 1}, {2, 6900, 42, 2}, {2, 6900, 34, 1}, {2, 6900, 1, 1}, {2, 10, 800, 0},
	}
	for _, row := range rows {
		if got := nextDepth(row.before, row.documents, row.hosts); got != row.want {
			t.Errorf("%+v: depth %d", row, got)
		}
	}
}

// TestShardsHoldEveryName guards against a document that no shard contains, and
// against a new document that no shard shows.
func TestShardsHoldEveryName(t *testing.T) {
	for _, n := range []int{200, 4000} {
		services := randomServices(n)
		services["q"], services["x-y"] = nil, nil
		var s Shards
		plan := s.Plan(&Accepted{Services: services, HostLists: []string{"a"}}, "host-1", "a", hostNames(50))
		keys := []string{document.DataCentresKey, document.HostsKey, "hosts/a"}
		for name := range services {
			keys = append(keys, document.ServiceKeyPrefix+name)
		}
		contained := func(prefix string, scopes ...kvstore.Scope) bool {
			return slices.ContainsFunc(plan.Shards, func(s kvstore.Shard) bool {
				return strings.HasPrefix(prefix, s.Prefix) && slices.Contains(scopes, s.Scope)
			})
		}
		for _, key := range keys {
			if !contained(key, kvstore.ScopePrefix, kvstore.ScopeKey) {
				t.Errorf("%d documents: no shard contains %s", n, key)
			}
		}
		for _, c := range firstCharacters {
			if prefix := document.ServiceKeyPrefix + string(c); !contained(prefix, kvstore.ScopePrefix, kvstore.ScopeNames) {
				t.Errorf("%d documents: a new name below %s is not found", n, prefix)
			}
		}
	}
}

// TestShardWatchers guards against a shard that other than two hosts watch, and
// against watches that move to another host when an unrelated host leaves.
func TestShardWatchers(t *testing.T) {
	services := randomServices(4000)
	watchers := func(hosts []string) map[kvstore.Shard][]string {
		found := map[kvstore.Shard][]string{}
		for _, self := range hosts {
			var s Shards
			for _, shard := range s.Plan(&Accepted{Services: services}, self, "a", hosts).Watch {
				found[shard] = append(found[shard], self)
			}
		}
		return found
	}
	hosts := hostNames(100)
	before, after := watchers(hosts), watchers(hosts[1:])
	for shard, ids := range before {
		if len(ids) != ReadersPerDataCentre {
			t.Errorf("%v is watched by %v", shard, ids)
		}
		if !slices.Contains(ids, hosts[0]) && !slices.Equal(ids, after[shard]) {
			t.Errorf("%v moved from %v to %v", shard, ids, after[shard])
		}
	}
}

// BenchmarkShards measures the computation of the plan of one host in seven data
// centres. It also reports what the plan costs at the target's rate of changes:
// the calls of the whole fleet, and the bytes that a watching host receives if a
// document has 1,446 bytes in a response and changes are spread evenly. Reads of
// the host list are not counted.
func BenchmarkShards(b *testing.B) {
	const dataCentres = 7
	for _, size := range []struct{ documents, hosts int }{{10, 7}, {1000, 7}, {1000, 100}, {6900, 7}, {6900, 1900}, {6900, 5700}} {
		b.Run(fmt.Sprintf("documents=%d/hosts=%d", size.documents, size.hosts), func(b *testing.B) {
			services := randomServices(size.documents)
			ids := hostNames(size.hosts / dataCentres)
			var s Shards
			var plan *kvstore.Plan
			for b.Loop() {
				s = Shards{}
				plan = s.Plan(&Accepted{Services: services}, ids[0], "a", ids)
			}
			shards, polls, changes := 1.0, 1.0, 0.061+0.083
			if plan != nil {
				shards, polls, changes = float64(len(plan.Shards)), float64(plan.PollsPerInterval), 0.061
			}
			watchers := float64(min(ReadersPerDataCentre, len(ids)) * dataCentres)
			rate := returnsPerSecond(changes / shards)
			body := float64(size.documents) / shards * 1446
			perHost := max(1, watchers*shards/float64(size.hosts))
			b.ReportMetric(shards, "shards")
			b.ReportMetric(perHost, "watches/host")
			b.ReportMetric(watchers*shards*rate, "watch-calls/s")
			b.ReportMetric(float64(size.hosts)*polls/60, "poll-calls/s")
			b.ReportMetric(perHost*rate*body, "watch-B/s")
			b.ReportMetric(polls/60*body, "poll-B/s")
		})
	}
}

// returnsPerSecond returns the rate at which a blocking read returns if it ends
// with the next change or after 55 s, for a number of changes per second.
func returnsPerSecond(changes float64) float64 { return changes / -math.Expm1(-changes*55) }
