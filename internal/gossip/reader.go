package gossip

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// readerTimeout is the time after the reader's last message at which another host takes over.
const readerTimeout = 2 * time.Second

const (
	// heartbeatInterval is the time from one heartbeat of the reader to the next.
	heartbeatInterval = 250 * time.Millisecond
	// heartbeatRetention is how long after it was first heard a heartbeat is not counted again. Later, its age exceeds
	// readerTimeout. A reader that has started again, whose numbers are lower, is believed then also if only others tell of it.
	heartbeatRetention = 2 * readerTimeout
)

// readerHeartbeats holds the latest heartbeat of each host that was named as the reader. The age of a heartbeat gets too low by the
// time that each message takes, which no host knows. So each counts once, by the first message that tells of it: it would get
// ever younger on its way round the hosts, and a reader that has failed would not be replaced.
type readerHeartbeats map[netip.AddrPort]readerHeartbeat

type readerHeartbeat struct {
	number  uint16        // by the reader's clock, modulo 2^16
	heardAt time.Duration // when it was first heard
}

// isNew records the heartbeat that a message tells of, and reports whether it is new. What the reader itself sends is always new.
func (s readerHeartbeats) isNew(msg *Message, now time.Duration) bool {
	known, ok := s[msg.Reader]
	if ok && msg.Reader != msg.From.Addr && int16(msg.ReaderHeartbeat-known.number) <= 0 && now-known.heardAt < heartbeatRetention {
		return false
	}
	s[msg.Reader] = readerHeartbeat{msg.ReaderHeartbeat, now}
	return true
}

// ReaderHeartbeat returns the number of the latest heartbeat of the reader that Reader returns.
func (m *Members) ReaderHeartbeat(now time.Duration) uint16 {
	if m.reader == m.self.Addr {
		return m.ownHeartbeat(now)
	}
	return m.readerHeartbeats[m.reader].number
}

// ownHeartbeat returns the number of this host's present heartbeat. It follows those of an earlier process of this host that others
// still tell of.
func (m *Members) ownHeartbeat(now time.Duration) uint16 {
	return m.heartbeatOffset + uint16(now/heartbeatInterval)
}

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
	if ahead := int16(msg.ReaderHeartbeat - m.ownHeartbeat(now)); msg.Reader == m.self.Addr && ahead > 0 {
		m.heartbeatOffset += uint16(ahead) + 1
	}
	if !m.readerHeartbeats.isNew(msg, now) {
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
