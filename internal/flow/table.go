// Package flow holds the table of open flows of one entry host.
package flow

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// State is how certain an entry's backend server is. A greater state takes
// precedence over a smaller one.
type State uint8

// States of entries, weakest first.
const (
	Guess     State = iota // no owner knew the flow
	Tentative              // chosen by the primary owner, not yet confirmed by the secondary
	Settled                // agreed on by the owners
	Proven                 // the backend server replied
)

// Entry is the backend server of a flow. It holds no pointers, so that the
// garbage collector does not scan the table.
type Entry struct {
	Addr     [16]byte
	Port     uint16
	Epoch    uint16 // owner epoch that the entry was replicated under, 0 for none
	Service  uint32
	Instance uint64
	LastSeen uint32 // seconds since process start
	Since    uint32 // milliseconds since process start when it was stored or last refreshed
	Excluded uint16 // guessed backend servers that refused the flow
	State    State
}

// AddrPort returns the backend server's address, IPv4 addresses unmapped.
func (e *Entry) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(e.Addr).Unmap(), e.Port)
}

// SameBackend reports whether both entries name the same process.
func (e *Entry) SameBackend(o *Entry) bool {
	return e.Addr == o.Addr && e.Port == o.Port && e.Instance == o.Instance && e.Service == o.Service
}

// Charged reports whether the flow counts against its backend server's allowance.
func (e *Entry) Charged() bool { return true }

// PutResult is what became of an entry that was put into the table.
type PutResult uint8

// Results of Put and Replace.
const (
	Stored PutResult = iota // the new entry is in the table
	Kept                    // the existing entry takes precedence
	Full                    // no room: nothing was stored
)

const shardCount = 256

// Table maps flows to entries. It is safe for concurrent use.
type Table struct {
	max    int64
	count  atomic.Int64
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	entries map[packet.Key]Entry
	_       [48]byte // keeps the mutexes on different cache lines
}

// NewTable returns a table that holds at most maxEntries flows.
func NewTable(maxEntries int) *Table {
	t := &Table{max: int64(maxEntries)}
	for i := range t.shards {
		t.shards[i].entries = make(map[packet.Key]Entry)
	}
	return t
}

// shard uses the high bits of the hash, because buckets use the low bits.
func (t *Table) shard(hash uint64) *shard {
	return &t.shards[hash>>56]
}

// Get returns the entry of a flow and records that it was used.
func (t *Table) Get(k packet.Key, hash uint64, now uint32) (Entry, bool) {
	s := t.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[k]
	if ok && e.LastSeen != now {
		e.LastSeen = now
		s.entries[k] = e
	}
	return e, ok
}

// Peek returns the entry of a flow without recording a use.
func (t *Table) Peek(k packet.Key, hash uint64) (Entry, bool) {
	s := t.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[k]
	return e, ok
}

// Put stores e unless the table has an entry of the same or a stronger state.
// It returns the entry that the table holds afterwards, or e when full.
func (t *Table) Put(k packet.Key, hash uint64, e Entry) (Entry, PutResult) {
	return t.merge(k, hash, e, false)
}

// Replace stores e unless the table has an entry of a stronger state.
func (t *Table) Replace(k packet.Key, hash uint64, e Entry) (Entry, PutResult) {
	return t.merge(k, hash, e, true)
}

func (t *Table) merge(k packet.Key, hash uint64, e Entry, newWinsTie bool) (Entry, PutResult) {
	s := t.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.entries[k]
	if !ok {
		if t.count.Add(1) > t.max {
			t.count.Add(-1)
			return e, Full
		}
		s.entries[k] = e
		return e, Stored
	}
	if old.State > e.State || old.State == e.State && !newWinsTie {
		old.LastSeen = e.LastSeen
		s.entries[k] = old
		return old, Kept
	}
	s.entries[k] = e
	return e, Stored
}

// Update replaces the entry of a flow if it still names the backend server of
// old in old's state. It reports whether it did.
func (t *Table) Update(k packet.Key, hash uint64, old, e Entry) bool {
	s := t.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.entries[k]
	if !ok || !current.SameBackend(&old) || current.State != old.State {
		return false
	}
	s.entries[k] = e
	return true
}

// Delete removes the entry of a flow.
func (t *Table) Delete(k packet.Key, hash uint64) {
	s := t.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.entries[k]; ok {
		delete(s.entries, k)
		t.count.Add(-1)
	}
}

// DeleteIf removes the entry of a flow if it still names the backend server of old.
func (t *Table) DeleteIf(k packet.Key, hash uint64, old Entry) {
	s := t.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[k]; ok && e.SameBackend(&old) {
		delete(s.entries, k)
		t.count.Add(-1)
	}
}

// Sweep removes the entries that were not used for longer than idle says, in
// seconds, and calls visit for every other one. The table must not be used
// from either function.
func (t *Table) Sweep(now uint32, idle func(Entry) uint32, visit func(packet.Key, Entry)) (removed int) {
	for i := range t.shards {
		removed += t.sweepShard(&t.shards[i], now, idle, visit)
	}
	return removed
}

func (t *Table) sweepShard(s *shard, now uint32, idle func(Entry) uint32, visit func(packet.Key, Entry)) (removed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, e := range s.entries {
		if now > e.LastSeen && now-e.LastSeen > idle(e) {
			delete(s.entries, k)
			removed++
			continue
		}
		visit(k, e)
	}
	t.count.Add(int64(-removed))
	return removed
}

// Len returns the number of entries.
func (t *Table) Len() int { return int(t.count.Load()) }
