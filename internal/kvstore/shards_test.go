package kvstore

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/nutmeglatch/nutmeglatch/internal/standin"
)

// Plans of a host that watches every shard, divided by one and by two characters.
var (
	shallow = &Plan{Depth: 1, PollsPerInterval: 1, Shards: []Shard{{Prefix: "hosts"}, {Prefix: "services/a"}, {Prefix: "services/b"}}}
	deep    = &Plan{Depth: 2, PollsPerInterval: 1, Shards: []Shard{
		{Prefix: "hosts"}, {"services/a", ScopeNames}, {"services/a", ScopeKey}, {Prefix: "services/ab"}, {Prefix: "services/ac"}, {Prefix: "services/b"},
	}}
)

func init() { shallow.Watch, deep.Watch = shallow.Shards, deep.Shards }

// shardedSource is a running source that reads the platform stand-in in shards.
type shardedSource struct {
	*watchedSource
	platform *standin.Platform
	plan     atomic.Pointer[Plan]
	metrics  *metrics.Set
}

// watchShards publishes five values and starts a source.
func watchShards(t *testing.T, plan *Plan) *shardedSource {
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	s := &shardedSource{platform: standin.ServePlatform(l), metrics: metrics.NewSet()}
	s.plan.Store(plan)
	s.put(map[string]string{"hosts": "h", "services/a": "one", "services/ab1": "ab", "services/ac1": "ac", "services/b1": "b"})
	t.Cleanup(s.platform.Close)
	source := NewHTTP(HTTPConfig{URL: "http://platform.test", Dial: l.dial, Plan: s.plan.Load, Metrics: s.metrics})
	ctx, cancel := context.WithCancel(t.Context())
	s.watchedSource = &watchedSource{out: make(chan Update), done: make(chan error, 1)}
	go func() { s.done <- source.Watch(ctx, "n/", s.out) }()
	t.Cleanup(func() { cancel(); <-s.done })
	return s
}

// put publishes values in the order of their keys, because the order determines
// the indexes of the shards.
func (s *shardedSource) put(values map[string]string) {
	for _, key := range slices.Sorted(maps.Keys(values)) {
		s.platform.Put("n/"+key, []byte(values[key]))
	}
}

// settleTime is long enough for every read of a new plan to start.
const settleTime = 5 * time.Second

// TestShardContract guards against changes that are lost when the platform is
// read in shards. Every change must arrive through the watch if it works, and
// otherwise through the poll.
func TestShardContract(t *testing.T) {
	rows := []struct {
		name   string
		plan   *Plan
		change func(s *shardedSource)
		within time.Duration
		want   map[string]string
	}{
		{"value changes", deep, func(s *shardedSource) { s.put(map[string]string{"services/ab1": "new", "services/a": "two"}) }, time.Second, map[string]string{"services/ab1": "new", "services/a": "two"}},
		{"shard appears below a known character", deep, func(s *shardedSource) { s.put(map[string]string{"services/az1": "new"}) }, time.Second, map[string]string{"services/az1": "new"}},
		{"shard appears with many names", deep, func(s *shardedSource) {
			for i := range 20 {
				s.put(map[string]string{fmt.Sprintf("services/ay%d", i): "new"})
			}
		}, time.Second, nil},
		{"shard empties and fills again", deep, func(s *shardedSource) {
			s.platform.Delete("n/services/b1")
			s.collect(time.Minute)
			s.put(map[string]string{"services/b2": "new"})
		}, time.Second, map[string]string{"services/b2": "new"}},
		{"empty shard appears", shallow, func(s *shardedSource) {
			s.platform.Delete("n/services/b1")
			s.collect(2 * DefaultWait)
			s.put(map[string]string{"hosts": "x", "services/b1": "back"})
		}, time.Second, map[string]string{"hosts": "x", "services/b1": "back"}},
		{"value changes as the depth rises", shallow, func(s *shardedSource) {
			s.plan.Store(deep)
			s.put(map[string]string{"services/ab1": "first"})
			s.collect(time.Second / 2)
			s.put(map[string]string{"services/ab1": "new", "services/ad1": "new"})
		}, settleTime, map[string]string{"services/ab1": "new", "services/ad1": "new"}},
		{"value changes as shards are unassigned", deep, func(s *shardedSource) {
			s.plan.Store(&Plan{Depth: 2, PollsPerInterval: 1, Shards: deep.Shards})
			s.collect(5 * time.Second)
			s.put(map[string]string{"services/ab1": "first"})
			s.collect(5 * time.Second)
			s.put(map[string]string{"services/ab1": "new"})
		}, time.Second, map[string]string{"services/ab1": "new"}},
		{"index of one shard goes backwards", deep, func(s *shardedSource) {
			s.platform.PutAt("n/services/ab1", 1, []byte("restored"))
			s.collect(DefaultWait * 5 / 4)
			if n := counter(s.metrics, "nutmeglatch_platform_index_resets_total"); n != 1 {
				t.Errorf("%d resets, want 1", n)
			}
			s.platform.PutAt("n/services/ab1", 2, []byte("new"))
		}, time.Second, map[string]string{"services/ab1": "new"}},
		{"one watch is silent, another works", deep, func(s *shardedSource) {
			s.platform.Silence("n/services/ab", true)
			s.put(map[string]string{"services/ab1": "new", "services/ac1": "new"})
		}, time.Second, map[string]string{"services/ac1": "new"}},
		{"new name cannot be read at first", deep, func(s *shardedSource) {
			s.platform.Silence("n/services/az1", true)
			s.put(map[string]string{"services/az1": "new", "services/az2": "new"})
			if values, err := s.collect(time.Minute); err == nil || values["services/az2"] != "new" {
				t.Errorf("values %v and error %v while a name cannot be read", values, err)
			}
			before := s.platform.Reads()
			s.collect(time.Minute)
			if n := s.platform.Reads() - before; n > 25 {
				t.Errorf("%d reads in a minute while a name cannot be read", n)
			}
			s.platform.Silence("n/services/az1", false)
		}, DefaultBackoffMax + DefaultReadTimeout, map[string]string{"services/az1": "new"}},
		{"only polled", &Plan{Depth: 2, PollsPerInterval: 1, Shards: deep.Shards}, func(s *shardedSource) {
			s.put(map[string]string{"services/ab1": "new", "services/ad1": "new"})
		}, DefaultPoll * 5 / 4 * 6, map[string]string{"services/ab1": "new", "services/ad1": "new"}},
		{"platform down", deep, func(s *shardedSource) {
			s.platform.SetMode(standin.PlatformDown)
			s.put(map[string]string{"services/ab1": "new"})
			s.collect(2 * time.Minute)
			s.platform.SetMode(standin.PlatformUp)
		}, DefaultBackoffMax, map[string]string{"services/ab1": "new"}},
		{"platform stale", deep, func(s *shardedSource) {
			s.platform.SetMode(standin.PlatformStale)
			s.put(map[string]string{"services/ab1": "new"})
			if values, _ := s.collect(2 * time.Minute); len(values) != 0 {
				t.Errorf("values of a stale platform: %v", values)
			}
			s.platform.SetMode(standin.PlatformUp)
		}, time.Second, map[string]string{"services/ab1": "new"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := watchShards(t, row.plan)
				if values, err := s.collect(settleTime); err != nil || len(values) != 5 {
					t.Fatalf("first read: %v, %v", values, err)
				}
				row.change(s)
				values, _ := s.collect(row.within)
				if row.want == nil && len(values) == 20 {
					return
				}
				if fmt.Sprint(values) != fmt.Sprint(row.want) {
					t.Errorf("got %v, want %v", values, row.want)
				}
			})
		})
	}
}

// TestShardFailureEnds guards against a failure that is still reported after the
// failed watch has ended.
func TestShardFailureEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := watchShards(t, deep)
		s.collect(settleTime)
		s.platform.Silence("n/services/ab", true)
		if _, err := s.collect(2 * DefaultWait); err == nil {
			t.Fatal("no failure reported")
		}
		s.plan.Store(&Plan{Depth: 2, PollsPerInterval: 1, Shards: shallow.Shards})
		s.collect(10 * time.Minute)
		if s.last != nil {
			t.Errorf("the last update is %v", s.last)
		}
	})
}

// TestShardReadLoad guards against shards that are read more than once per wait,
// and against a change that ends the blocking reads of other shards.
func TestShardReadLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := watchShards(t, deep)
		s.collect(settleTime)
		before := s.platform.Reads()
		for i := range 10 {
			s.put(map[string]string{"services/ab1": fmt.Sprint(i)})
			s.collect(time.Minute)
		}
		// Six watches of 11 reads, one poll per minute, and for each change one
		// more read of the shard and one of the list of names.
		if reads := s.platform.Reads() - before; reads > 6*11+13+2*10 {
			t.Errorf("%d reads in 10 minutes", reads)
		}
		if n := counter(s.metrics, "nutmeglatch_platform_index_resets_total"); n != 0 {
			t.Errorf("%d resets", n)
		}
	})
}
