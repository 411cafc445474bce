package gossip

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// readerTimeout is the time after the reader's last message at which another host takes over.
const readerTimeout = 2 * time.Second

// Reader returns the host that reads the store for the others, whether it is this host, and the time since its last
// message. The live host with the lowest rank is the reader. Messages carry its address, so that there is a single reader
// also in a large fleet, where each host receives messages from only some of the others.
func (m *Members) Reader(now time.Duration) (own bool, reader netip.AddrPort, age time.Duration) {
	if m.reader != m.self.Addr && now-m.readerSeenAt < readerTimeout && readerRank(m.reader) < readerRank(m.self.Addr) {
		return false, m.reader, now - m.readerSeenAt
	}
	m.reader, m.readerSeenAt = m.self.Addr, now
	return true, m.self.Addr, 0
}

// updateReader records the reader named in a message, unless that host is known to be leaving. A different reader is
// adopted only if it was active within readerTimeout, and if its rank is lower or the current reader has timed out. A
// message in which the current reader announces that it is leaving ends its role at once.
func (m *Members) updateReader(msg *Message, now time.Duration) {
	if msg.Leaving && m.reader == msg.From.Addr {
		m.readerSeenAt = now - readerTimeout
	}
	if named := m.members[msg.Reader]; !msg.Reader.IsValid() || named != nil && named.leaving {
		return
	}
	at := now - time.Duration(msg.ReaderAgeMs)*time.Millisecond
	if msg.Reader == m.reader {
		m.readerSeenAt = max(m.readerSeenAt, at)
		return
	}
	stale := now-m.readerSeenAt >= readerTimeout
	if now-at < readerTimeout && (stale || readerRank(msg.Reader) < readerRank(m.reader)) {
		m.reader, m.readerSeenAt = msg.Reader, at
	}
}

// readerRank returns the rank of a host in the choice of the reader; the lowest wins.
func readerRank(addr netip.AddrPort) uint64 { return xxhash.Sum64String(addr.String()) }
