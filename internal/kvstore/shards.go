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
	// ScopePrefix is every key that begins with the prefix, also in the middle
	// of a name.
	ScopePrefix Scope = iota
	// ScopeKey is the key alone.
	ScopeKey
	// ScopeNames is the names of the keys that begin with the prefix. It finds
	// keys that no other shard of the plan holds.
	ScopeNames
)

// Shard is a part of the keys that is read by itself. The zero value holds all
// keys. Prefix is relative to the prefix of the source.
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
	// Depth distinguishes divisions of the keys.
	Depth int
}

// Limits of changes between plans.
const (
	// startSpread bounds, per shard of the plan, the random delay of a blocking
	// read after the depth has changed. All hosts change it at about the same
	// time, and 18,600 reads at once would exceed the limit of 2,000 a second.
	startSpread = 10 * time.Millisecond
	// linger is the time that a blocking read stays open after the plan gave
	// its shard to other hosts, which may start later.
	linger = 30 * time.Second
	// maxSingleReads bounds the reads of single keys after a list of names.
	// Above it, one read of everything below the prefix is cheaper.
	maxSingleReads = 16
)

// shardWatch is a blocking read of a shard.
type shardWatch struct {
	retire  time.Time // zero while the plan assigns the shard to this host
	retired atomic.Bool
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

// run follows the plan until ctx ends.
func (w *shardWatches) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		for {
			if plan := w.cfg.Plan(); plan != nil {
				w.follow(ctx, g, plan, time.Now())
			}
			if err := sleep(ctx, readerCheck); err != nil {
				return err
			}
		}
	})
	return g.Wait()
}

// follow starts the reads that the plan adds and ends those it dropped a
// while ago.
func (w *shardWatches) follow(ctx context.Context, g *errgroup.Group, plan *Plan, now time.Time) {
	spread := time.Duration(0)
	if plan.Depth != w.depth {
		spread = startSpread * time.Duration(len(plan.Shards))
	}
	w.depth = plan.Depth
	wanted := make(map[Shard]bool, len(plan.Watch))
	for _, s := range plan.Watch {
		wanted[s] = true
		if running := w.running[s]; running != nil {
			running.retire = time.Time{}
			continue
		}
		w.start(ctx, g, s, spread)
	}
	for s, running := range w.running {
		switch {
		case wanted[s]:
		case running.retire.IsZero():
			running.retire = now.Add(linger)
		case now.After(running.retire):
			running.retired.Store(true)
			delete(w.running, s)
		}
	}
	w.counters.watches(len(w.running))
}

// start opens a blocking read. It ends with a whole read after it is retired,
// because a read that is cancelled after it marked values as seen would hide
// them from the other loops.
func (w *shardWatches) start(ctx context.Context, g *errgroup.Group, s Shard, spread time.Duration) {
	watch := &shardWatch{}
	w.running[s] = watch
	r := w.newReader("watch", w.prefix, w.seen, w.out)
	r.shard = s
	g.Go(func() error {
		defer r.client.CloseIdleConnections()
		err := sleep(ctx, rand.N(spread+1))
		for err == nil && !watch.retired.Load() {
			err = r.renew(ctx)
		}
		return err
	})
}

// poll reads the values at long intervals: all of them, or the shards of the
// plan in rotation. Hosts begin at random shards.
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
		if err := r.step(ctx, false); err != nil {
			return err
		}
		indexes[r.shard] = r.index
	}
}

// readMissing reads the keys that no shard holds, each with a deadline of its
// own. After a failure the list of names is read again.
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

// listed decodes a list of names and notes the keys that no shard holds.
func (r *reader) listed(d *decoder) error {
	known := r.cfg.Plan().below(r.shard.Prefix)
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

// below returns the shards with values whose prefix begins with prefix.
func (p *Plan) below(prefix string) []Shard {
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
