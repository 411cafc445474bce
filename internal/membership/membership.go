// Package membership tracks which of the listed entry hosts are alive, by
// probes, indirect probes and updates piggybacked on them (SWIM). It is a pure
// state machine: it reads no clock and does no I/O.
//
// Knowledge about a host is ordered by (boot, incarnation, status). Every host
// keeps the greatest value it has seen, so hosts agree once messages get
// through, in whatever order they arrive. Only the host itself raises its
// incarnation, to refute a suspicion.
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
	// Boot tells apart the processes that run under one host id one after the
	// other. A later process must have a greater value; the start time in
	// milliseconds is suitable. It must not be zero.
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

// States of a host. A host is Leaving when it said so itself, which is final for
// its boot, or while the list says so. A leaving host that does not answer
// becomes Dead.
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
	Boot        uint64 // 0 until something has been heard of the host
}

// Confirmed reports whether anything has been heard of the host. A listed host
// is Alive but not confirmed until it has been heard of.
func (m *Member) Confirmed() bool { return m.Boot != 0 }

// Sender identifies the origin of an authenticated datagram. Addr is where an
// answer goes when the sender is not on this host's list.
type Sender struct {
	ID   string
	Boot uint64
	Addr netip.AddrPort
}

// Outcome is something that the caller must do or know.
type Outcome interface{ outcome() }

// Send asks for a message to be sent in a datagram.
type Send struct {
	To      string
	Addr    netip.AddrPort
	Message Message
}

// Changed reports that Members returns a different value than before.
type Changed struct{}

// Paused reports that no Tick or Receive was called for more than PauseLimit.
type Paused struct{ Gap time.Duration }

// PeerDigest returns the configuration digest of a listed host that sent a
// message.
type PeerDigest struct {
	From   string
	Digest uint64
}

// Superseded reports that another process with a greater boot runs, or ran,
// under this host's id. This process must stop; a restarted one gets a greater
// boot.
type Superseded struct{ Boot uint64 }

// DeclaredDead reports that others had declared this process dead, so they may
// have acted in its place meanwhile.
type DeclaredDead struct{}

// ListRejected reports that an empty list was given after a list with hosts.
// The previous list stays in effect, because the platform may serve a stale or
// damaged copy and an empty list would remove every member.
type ListRejected struct{}

func (Send) outcome()         {}
func (Changed) outcome()      {}
func (Paused) outcome()       {}
func (PeerDigest) outcome()   {}
func (Superseded) outcome()   {}
func (DeclaredDead) outcome() {}
func (ListRejected) outcome() {}
