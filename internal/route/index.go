package route

import (
	"iter"
	"maps"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// indexShards is the number of shards of an Index. A change copies one shard
// and the array of shards.
const indexShards = 512

type indexKey interface {
	ServiceAddr | netip.AddrPort | string
}

// Index is an immutable map. A changed copy shares the unchanged shards with
// the original. The zero value is empty.
type Index[K indexKey, V any] struct {
	shards *[indexShards]map[K]V
	count  int
}

// Get returns the value of k, or the zero value.
func (x Index[K, V]) Get(k K) V {
	if x.shards == nil {
		var zero V
		return zero
	}
	return x.shards[shardOf(k)][k]
}

// Len returns the number of keys.
func (x Index[K, V]) Len() int { return x.count }

// All iterates over the keys and values in no particular order.
func (x Index[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if x.shards == nil {
			return
		}
		for _, shard := range x.shards {
			for k, v := range shard {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

// indexBuilder collects changes to an Index.
type indexBuilder[K indexKey, V any] struct {
	shards [indexShards]map[K]V
	cloned [indexShards]bool // shards copied since the last publish, which may be modified
	dirty  bool
	last   Index[K, V]
	count  int
}

func (b *indexBuilder[K, V]) get(k K) (V, bool) {
	v, ok := b.shards[shardOf(k)][k]
	return v, ok
}

func (b *indexBuilder[K, V]) set(k K, v V) {
	shard := b.writableShard(shardOf(k))
	if _, ok := shard[k]; !ok {
		b.count++
	}
	shard[k] = v
}

func (b *indexBuilder[K, V]) remove(k K) {
	if _, ok := b.get(k); !ok {
		return
	}
	delete(b.writableShard(shardOf(k)), k)
	b.count--
}

// writableShard returns a shard that no published index shares.
func (b *indexBuilder[K, V]) writableShard(i int) map[K]V {
	if !b.cloned[i] {
		copied := maps.Clone(b.shards[i])
		if copied == nil {
			copied = make(map[K]V)
		}
		b.shards[i] = copied
		b.cloned[i] = true
		b.dirty = true
	}
	return b.shards[i]
}

// publish returns the index with all changes so far.
func (b *indexBuilder[K, V]) publish() Index[K, V] {
	if b.dirty || b.last.shards == nil {
		shards := b.shards
		b.last = Index[K, V]{shards: &shards, count: b.count}
		b.cloned = [indexShards]bool{}
		b.dirty = false
	}
	return b.last
}

func shardOf[K indexKey](k K) int {
	var h uint64
	switch k := any(k).(type) {
	case ServiceAddr:
		h = hashAddr(k.Addr, uint64(k.Port)<<8|uint64(k.Proto))
	case netip.AddrPort:
		h = hashAddr(k.Addr(), uint64(k.Port()))
	case string:
		h = xxhash.Sum64String(k)
	}
	return int(h % indexShards)
}

func hashAddr(a netip.Addr, extra uint64) uint64 {
	hi, lo := addrWords(a)
	return mix(mix(hi^extra) ^ lo)
}
