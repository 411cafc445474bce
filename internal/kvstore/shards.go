package kvstore

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Scope says which keys a shard holds.
type Scope uint8

// Scopes of shards.
const (
	// ScopePrefix is every key that begins with the prefix. The prefix may end
	// within a name.
	ScopePrefix Scope = iota
	// ScopeKey is the single key that equals the prefix.
	ScopeKey
	// ScopeNames is the names, without values, of the keys that begin with the
	// prefix. It detects keys that no other shard of the plan holds.
	ScopeNames
)

// Shard is a subset of the keys that is read with one request. The zero value
// holds all keys. Prefix is relative to the prefix of the source.
type Shard struct {
	Prefix string
	Scope  Scope
}

func (s Shard) holds(key string) bool {
	return key == s.Prefix || s.Scope == ScopePrefix && strings.HasPrefix(key, s.Prefix)
}

// Plan says how a host reads keys that are divided into shards. It is
// immutable.
type Plan struct {
	// Shards hold all keys. The slow poll reads them in rotation.
	Shards []Shard
	// Watch are the shards on which this host keeps a blocking read open.
	Watch []Shard
	// PollsPerInterval is the number of shards that the slow poll reads per interval.
	PollsPerInterval int
	// Depth identifies the division of the keys into shards. When it changes,
	// new blocking reads start at random delays.
	Depth int
}

// Limits of changes between plans.
const (
	// startDelayPerShard, times the number of shards of the plan, bounds the
	// random delay of a blocking read after the depth has changed. All hosts
	// change the depth at about the same time, and 18,600 reads at once would
	// exceed the limit of 2,000 per second.
	startDelayPerShard = 10 * time.Millisecond
	// retireDelay is the time that a blocking read stays open after the plan
	// assigned its shard to other hosts, whose reads may start later.
	retireDelay = 30 * time.Second
	// maxSingleReads bounds the reads of single keys after a list of names.
	// Above it, one read of everything below the prefix is cheaper.
	maxSingleReads = 16
)

// shardWatch is a blocking read of a shard.
type shardWatch struct {
	retireAt time.Time   // zero while the plan assigns the shard to this host
	retired  atomic.Bool // the read ends after its current request
}

// shardWatches are the blocking reads of the shards of the plan.
type shardWatches struct {
	*httpSource
	prefix  string
	seen    *digests
	out     chan<- Update
	depth   int
	running map[Shard]*shardWatch
}

// run applies the current plan once per assignmentInterval until ctx ends.
func (w *shardWatches) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		for {
			if plan := w.cfg.Plan(); plan != nil {
				w.apply(ctx, g, plan, time.Now())
			}
			if err := sleep(ctx, assignmentInterval); err != nil {
				return err
			}
		}
	})
	return g.Wait()
}

// apply starts blocking reads for the shards that the plan adds, and ends those
// of shards that it has not assigned for retireDelay.
func (w *shardWatches) apply(ctx context.Context, g *errgroup.Group, plan *Plan, now time.Time) {
	spread := time.Duration(0)
	if plan.Depth != w.depth {
		spread = startDelayPerShard * time.Duration(len(plan.Shards))
	}
	w.depth = plan.Depth
	wanted := make(map[Shard]bool, len(plan.Watch))
	for _, s := range plan.Watch {
		wanted[s] = true
		if running := w.running[s]; running != nil {
			running.retireAt = time.Time{}
			continue
		}
		w.start(ctx, g, s, spread)
	}
	for s, running := range w.running {
		switch {
		case wanted[s]:
		case running.retireAt.IsZero():
			running.retireAt = now.Add(retireDelay)
		case now.After(running.retireAt):
			running.retired.Store(true)
			delete(w.running, s)
		}
	}
	w.counters.watches(len(w.running))
}

// start opens a blocking read after a random delay of at most spread. A retired
// read completes its current request, because a read that is cancelled after it
// marked values as seen would hide them from the other loops.
func (w *shardWatches) start(ctx context.Context, g *errgroup.Group, s Shard, spread time.Duration) {
	watch := &shardWatch{}
	w.running[s] = watch
	r := w.newReader("watch", w.prefix, w.seen, w.out)
	r.shard = s
	g.Go(func() error {
		defer r.client.CloseIdleConnections()
		err := sleep(ctx, rand.N(spread+1))
		for err == nil && !watch.retired.Load() {
			err = r.watchOnce(ctx)
		}
		return err
	})
}

// poll reads the values at long intervals: all of them, or the shards of the
// plan in rotation. Each host starts at a random shard, which spreads the load.
func (r *reader) poll(ctx context.Context) error {
	defer r.client.CloseIdleConnections()
	indexes := map[Shard]uint64{}
	for next := rand.IntN(1 << 20); ; next++ {
		interval := r.cfg.Poll
		if plan := r.cfg.Plan(); plan != nil {
			interval /= time.Duration(max(plan.PollsPerInterval, 1))
		}
		if err := sleep(ctx, interval/4+jitter(interval)); err != nil {
			return err
		}
		r.shard = Shard{}
		if plan := r.cfg.Plan(); plan != nil {
			r.shard = plan.Shards[next%len(plan.Shards)]
		}
		r.index = indexes[r.shard]
		if err := r.readAndSend(ctx, false); err != nil {
			return err
		}
		indexes[r.shard] = r.index
	}
}

// readMissing reads the keys that no shard holds, each with its own deadline.
// After a failure, the list of names is read again without blocking.
func (r *reader) readMissing(ctx context.Context) (values []KeyValue, failed error) {
	for _, s := range r.missing {
		single := *r
		single.shard, single.index = s, 0
		r.counters.read("name")
		read, err := single.read(ctx, false)
		if err != nil {
			failed, r.index = err, 0
		}
		values = append(values, read...)
	}
	r.missing = nil
	return values, failed
}

// decodeNames decodes a list of names and records the keys that no shard holds.
func (r *reader) decodeNames(d *decoder) error {
	known := r.cfg.Plan().valueShards(r.shard.Prefix)
	r.missing = nil
	err := decodeEach(d, func(name string) {
		key, ok := strings.CutPrefix(name, r.prefix)
		if !ok || !strings.HasPrefix(key, r.shard.Prefix) {
			r.counters.entrySkipped("key")
			return
		}
		if !slices.ContainsFunc(known, func(s Shard) bool { return s.holds(key) }) {
			r.missing = append(r.missing, Shard{key, ScopeKey})
		}
	})
	if err != nil {
		r.missing = nil
	}
	if len(r.missing) > maxSingleReads {
		r.missing = []Shard{{r.shard.Prefix, ScopePrefix}}
	}
	return err
}

// valueShards returns the shards, except those of names only, whose prefix begins with prefix.
func (p *Plan) valueShards(prefix string) []Shard {
	if p == nil {
		return nil
	}
	var shards []Shard
	for _, s := range p.Shards {
		if s.Scope != ScopeNames && strings.HasPrefix(s.Prefix, prefix) {
			shards = append(shards, s)
		}
	}
	return shards
}
