package gossip

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// readerAliveFor is how long after the reader was heard another host takes its place.
const readerAliveFor = 2 * time.Second

// Reader reports whether this host reads the store for the others, and the host that does with the time since it was
// heard. The first of the live hosts reads; who it is travels with the messages, so that a large fleet, in which each
// host hears only some, has one reader as well.
func (m *Members) Reader(now time.Duration) (own bool, reader netip.AddrPort, age time.Duration) {
	if m.reader != m.self.Addr && now-m.readAt < readerAliveFor && readerRank(m.reader) < readerRank(m.self.Addr) {
		return false, m.reader, now - m.readAt
	}
	m.reader, m.readAt = m.self.Addr, now
	return true, m.self.Addr, 0
}

// hearReader takes the reader that a message names, unless it has said that it leaves.
func (m *Members) hearReader(msg *Message, now time.Duration) {
	if msg.Leaving && m.reader == msg.From.Addr {
		m.readAt = now - readerAliveFor
	}
	if named := m.members[msg.Reader]; !msg.Reader.IsValid() || named != nil && named.leaving {
		return
	}
	at := now - time.Duration(msg.ReaderAgeMs)*time.Millisecond
	if msg.Reader == m.reader {
		m.readAt = max(m.readAt, at)
		return
	}
	stale := now-m.readAt >= readerAliveFor
	if now-at < readerAliveFor && (stale || readerRank(msg.Reader) < readerRank(m.reader)) {
		m.reader, m.readAt = msg.Reader, at
	}
}

func readerRank(addr netip.AddrPort) uint64 { return xxhash.Sum64String(addr.String()) }
