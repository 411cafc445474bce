package gossip

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// readerTimeout is the time after the reader's last message at which another host takes over.
const readerTimeout = 2 * time.Second

const (
	// signInterval is the time from one sign of life of the reader to the next.
	signInterval = 250 * time.Millisecond
	// signRetention is how long after it was first heard a sign is not counted again. Later, its age exceeds readerTimeout. A
	// reader that has started again, whose signs are lower, is believed then also if only others tell of it.
	signRetention = 2 * readerTimeout
)

// readerSigns holds the latest sign of life of each host that was named as the reader. The age of a sign gets too low by the time
// that each message takes, which no host knows. So each counts once, by the first message that tells of it: it would get ever
// younger on its way round the hosts, and a reader that has failed would not be replaced.
type readerSigns map[netip.AddrPort]readerSign

type readerSign struct {
	sign    uint16
	heardAt time.Duration // when it was first heard
}

// isNew records the sign that a message tells of, and reports whether it is new. What the reader itself sends is always new.
func (s readerSigns) isNew(msg *Message, now time.Duration) bool {
	known, ok := s[msg.Reader]
	if ok && msg.Reader != msg.From.Addr && int16(msg.ReaderSign-known.sign) <= 0 && now-known.heardAt < signRetention {
		return false
	}
	s[msg.Reader] = readerSign{msg.ReaderSign, now}
	return true
}

// ReaderSign returns the latest sign of life of the reader that Reader returns.
func (m *Members) ReaderSign(now time.Duration) uint16 {
	if m.reader == m.self.Addr {
		return m.ownSign(now)
	}
	return m.readerSigns[m.reader].sign
}

// ownSign returns the sign of life of this host. It follows those of an earlier process of this host that others still tell of.
func (m *Members) ownSign(now time.Duration) uint16 { return m.signBase + uint16(now/signInterval) }

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
	if ahead := int16(msg.ReaderSign - m.ownSign(now)); msg.Reader == m.self.Addr && ahead > 0 {
		m.signBase += uint16(ahead) + 1
	}
	if !m.readerSigns.isNew(msg, now) {
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
