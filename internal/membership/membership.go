// Package membership tracks which of the listed entry hosts are alive, by
// probes, indirect probes and updates piggybacked on them (SWIM). It is a pure
// state machine: it reads no clock and does no I/O.
//
// Updates about a host are ordered by (boot, incarnation, status). Every host
// keeps the greatest value it has received, so hosts converge once messages are
// delivered, in whatever order they arrive. Only the host itself increments its
// incarnation, to refute a suspicion or to announce that it is leaving.
package membership

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

// Defaults of Config.
const (
	DefaultProbeInterval  = 200 * time.Millisecond
	DefaultProbeTimeout   = 150 * time.Millisecond
	DefaultSuspectFor     = time.Second
	DefaultPauseLimit     = time.Second
	DefaultIndirectProbes = 3
)

// Config holds the settings of a State. Zero durations and counts are replaced
// with the defaults.
type Config struct {
	Self document.Host
	// Boot distinguishes successive processes with the same host id. A later
	// process must have a greater value; the start time in milliseconds is
	// suitable. It must not be zero.
	Boot           uint64
	ProbeInterval  time.Duration
	ProbeTimeout   time.Duration
	SuspectFor     time.Duration
	PauseLimit     time.Duration
	IndirectProbes int
	Seed           uint64
}

func (c *Config) setDefaults() {
	c.ProbeInterval = cmp.Or(c.ProbeInterval, DefaultProbeInterval)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, DefaultProbeTimeout)
	c.SuspectFor = cmp.Or(c.SuspectFor, DefaultSuspectFor)
	c.PauseLimit = cmp.Or(c.PauseLimit, DefaultPauseLimit)
	c.IndirectProbes = cmp.Or(c.IndirectProbes, DefaultIndirectProbes)
	c.Boot = cmp.Or(c.Boot, 1)
}

// Status is the state of a listed host as this host sees it.
type Status uint8

// States of a host. A host is Leaving if it has announced so itself, which is
// final for its boot, or while the list marks it as leaving. A leaving host that
// does not answer becomes Dead.
const (
	Alive Status = iota
	Suspect
	Dead
	Leaving
)

var statusNames = [...]string{Alive: "alive", Suspect: "suspect", Dead: "dead", Leaving: "leaving"}

// String returns the name of the status.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return "invalid"
	}
	return statusNames[s]
}

// Member is a listed host and its state.
type Member struct {
	Host        document.Host
	Status      Status
	Incarnation uint64
	Boot        uint64 // 0 until the host is confirmed
}

// Confirmed reports whether a message from the host or an update about it has
// been received. Until then a listed host is Alive but not confirmed.
func (m *Member) Confirmed() bool { return m.Boot != 0 }

// Sender identifies the origin of an authenticated datagram. Answers are sent to
// Addr if the sender is not on this host's list.
type Sender struct {
	ID   string
	Boot uint64
	Addr netip.AddrPort
}

// Outcome is an action that the caller must take, or an event that it must
// handle.
type Outcome interface{ outcome() }

// Send requests that a message be sent in a datagram.
type Send struct {
	To      string
	Addr    netip.AddrPort
	Message Message
}

// Changed reports that the result of Members has changed.
type Changed struct{}

// Paused reports that no Tick or Receive was called for more than PauseLimit.
type Paused struct{ Gap time.Duration }

// PeerDigest reports the configuration digest in a message from a listed host.
type PeerDigest struct {
	From   string
	Digest uint64
}

// Superseded reports that a process with a greater boot is running, or has run,
// under this host's id. This process must stop; after a restart it has a greater
// boot.
type Superseded struct{ Boot uint64 }

// DeclaredDead reports that other hosts had declared this process dead, so they
// may have taken over its work in the meantime.
type DeclaredDead struct{}

// ListRejected reports that SetListed was called with an empty list after a
// list with hosts. The previous list stays in effect, because the platform may
// serve a stale or corrupt copy and an empty list would remove every member.
type ListRejected struct{}

func (Send) outcome()         {}
func (Changed) outcome()      {}
func (Paused) outcome()       {}
func (PeerDigest) outcome()   {}
func (Superseded) outcome()   {}
func (DeclaredDead) outcome() {}
func (ListRejected) outcome() {}
