// Package flow holds the table of open flows of one entry host.
package flow

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// State is how certain an entry's backend server is. A higher state takes
// precedence over a lower one.
type State uint8

// States of entries, weakest first.
const (
	Guess     State = iota // guessed, because no owner had an entry of the flow
	Tentative              // chosen by the primary owner, not yet confirmed by the secondary
	Settled                // agreed on by the owners
	Proven                 // the backend server replied
)

// Entry is the backend server of a flow. It holds no pointers, so that the
// garbage collector does not scan the table.
type Entry struct {
	Addr        [16]byte
	Port        uint16
	Epoch       uint16 // owner epoch under which the owners stored the entry, 0 if not replicated
	Service     uint32
	Instance    uint64
	LastSeen    uint32 // seconds since process start
	RefreshedAt uint32 // milliseconds since process start when the entry was stored or last refreshed
	Excluded    uint16 // number of guessed backend servers that reset the flow
	State       State
	Closing     bool   // a FIN or reset of the flow was seen
	End         uint32 // the caller's sequence number after that packet
	Conn        uint32 // initial sequence number of the caller's connection, 0 when unknown
	Opened      uint32 // milliseconds since process start when the connection was admitted, or first seen when unknown
}

// ClosingIdleSeconds is the idle time, in seconds, after which an entry of a
// closing flow is removed. It covers retransmissions of the last segments: with
// the usual backoff from one second, four of them take 15 s.
const ClosingIdleSeconds = 30

// AddrPort returns the backend server's address, IPv4 addresses unmapped.
func (e *Entry) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(e.Addr).Unmap(), e.Port)
}

// SameBackend reports whether both entries name the same process.
func (e *Entry) SameBackend(o *Entry) bool {
	return e.Addr == o.Addr && e.Port == o.Port && e.Instance == o.Instance && e.Service == o.Service
}

// Older reports whether e belongs to an earlier connection of the flow than o.
// An entry without a known connection also counts as older if it names another
// backend server and was opened less than ClosingIdleSeconds after o: it may have
// been created by a late reply of an earlier connection.
func (e *Entry) Older(o *Entry) bool {
	later := int32(e.Opened - o.Opened) // wraps as Opened does
	switch {
	case e.Conn == o.Conn || o.Conn == 0:
		return false
	case e.Conn == 0:
		return !e.SameBackend(o) && later < ClosingIdleSeconds*1000
	}
	return later < 0
}

// sameConn reports whether the entries may belong to the same connection.
func (e *Entry) sameConn(o *Entry) bool {
	return e.Conn == o.Conn || e.Conn == 0 || o.Conn == 0
}

// adoptConn copies the connection of o if only o has a known one.
func (e *Entry) adoptConn(o *Entry) {
	if e.Conn == 0 && o.Conn != 0 {
		e.Conn, e.Opened = o.Conn, o.Opened
	}
}

// Charged reports whether the flow counts against its backend server's allowance.
func (e *Entry) Charged() bool { return !e.Closing }

// PutResult is the result of storing an entry in the table.
type PutResult uint8

// Results of Put, Replace and Reopen.
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
// It returns the entry that the table holds afterwards, or e when full. An entry
// of an earlier connection never replaces one of a later connection. An entry of
// a later connection replaces one of an earlier connection if it is settled or
// proven. Between different backend servers an open entry takes precedence over
// a closing one. An entry that is closing remains so when e names the same
// backend server.
func (t *Table) Put(k packet.Key, hash uint64, e Entry) (Entry, PutResult) {
	return t.merge(k, hash, e, keepOnTie)
}

// Replace is Put, but e is also stored over an entry of the same state.
func (t *Table) Replace(k packet.Key, hash uint64, e Entry) (Entry, PutResult) {
	return t.merge(k, hash, e, replaceOnTie)
}

// Reopen is Put, but e is also stored over any closing entry, unless e is
// closing too.
func (t *Table) Reopen(k packet.Key, hash uint64, e Entry) (Entry, PutResult) {
	return t.merge(k, hash, e, replaceClosing)
}

// mergeRule states which entries a new one replaces besides weaker ones.
type mergeRule uint8

const (
	keepOnTie mergeRule = iota
	replaceOnTie
	replaceClosing
)

// replaces reports whether e replaces old under a rule.
func (e *Entry) replaces(old *Entry, rule mergeRule) bool {
	switch {
	case e.Older(old):
		return false
	case old.Older(e) && e.State >= Settled:
		return true
	case old.Closing != e.Closing && (rule == replaceClosing || !e.SameBackend(old)):
		return old.Closing
	case old.State != e.State:
		return e.State > old.State
	}
	return rule == replaceOnTie
}

// merge stores e unless the existing entry takes precedence, and combines what
// both entries state about the same connection.
func (t *Table) merge(k packet.Key, hash uint64, e Entry, rule mergeRule) (Entry, PutResult) {
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
	reopened := rule == replaceClosing && !e.Closing
	same := e.SameBackend(&old) && e.sameConn(&old)
	if !e.replaces(&old, rule) {
		if same && e.Closing {
			old.Closing, old.End = true, e.End
		}
		if same {
			old.adoptConn(&e)
		}
		old.LastSeen = e.LastSeen
		s.entries[k] = old
		return old, Kept
	}
	if same && old.Closing && !e.Closing && !reopened {
		e.Closing, e.End = true, old.End
	}
	if same && !reopened {
		e.adoptConn(&old)
	}
	s.entries[k] = e
	return e, Stored
}

// Update replaces the entry of a flow by e if the entry still has the backend
// server, connection, state and closing mark of old. It reports whether it
// replaced the entry.
func (t *Table) Update(k packet.Key, hash uint64, old, e Entry) bool {
	s := t.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.entries[k]
	if !ok || !current.SameBackend(&old) || current.Conn != old.Conn || current.State != old.State || current.Closing != old.Closing {
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

// Sweep removes the entries that were not used for longer than the number of
// seconds that idle returns, which for closing entries is at most
// ClosingIdleSeconds. It calls visit for every other entry. Neither function may
// use the table.
func (t *Table) Sweep(now uint32, idle func(packet.Key, Entry) uint32, visit func(packet.Key, Entry)) (removed int) {
	for i := range t.shards {
		removed += t.sweepShard(&t.shards[i], now, idle, visit)
	}
	return removed
}

func (t *Table) sweepShard(s *shard, now uint32, idle func(packet.Key, Entry) uint32, visit func(packet.Key, Entry)) (removed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, e := range s.entries {
		limit := idle(k, e)
		if e.Closing {
			limit = min(limit, ClosingIdleSeconds)
		}
		if now > e.LastSeen && now-e.LastSeen > limit {
			delete(s.entries, k)
			removed++
			continue
		}
		visit(k, e)
	}
	t.count.Add(int64(-removed))
	return removed
}

// Max returns the number of entries that the table may hold.
func (t *Table) Max() int { return int(t.max) }

// Len returns the number of entries.
func (t *Table) Len() int { return int(t.count.Load()) }
