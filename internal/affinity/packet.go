// Package affinity decides where the packets of a flow go, by a token that both ends of the flow return in their packets.
//
// The host writes the token of the chosen backend server into the opening packet of a flow, and both ends write it into
// every later packet. Any host can therefore forward a later packet to the right backend server without having seen the
// flow before. The state that the package keeps of flows only improves its choices; no flow breaks when a host loses it.
package affinity

import (
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/overload"
)

// Packet holds the fields of a caller's packet on which the forwarding decision depends.
type Packet struct {
	Caller  netip.AddrPort
	Service netip.AddrPort // destination address of the packet
	Opening bool           // requests a new flow
	Closing bool           // last packet of the caller on the flow
	Reset   bool
	Copy    uint32 // of an opening packet: number of earlier transmissions
	Token   uint32 // of the flow's backend server; 0: none
	Seq     uint32
	Ack     uint32
	Length  int // of the data, in bytes
}

// FlowKey identifies a flow by the addresses of its two ends.
type FlowKey struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
}

// Key returns the key of the flow that the packet belongs to.
func (p *Packet) Key() FlowKey { return FlowKey{Caller: p.Caller, Service: p.Service} }

// Action states what the host does with a packet.
type Action uint8

// Actions.
const (
	Drop Action = iota
	Forward
	Reject // answer the caller with a reset
	Hold   // keep the packet and decide about it again when Admission has the flow due
)

// Reason states why an action was chosen.
type Reason uint8

// Reasons.
const (
	NewFlow Reason = iota
	OpeningCopy
	KnownFlow
	UnknownRoute
	RemovedRoute
	NoBackendServer
	NoToken
	UnknownToken
	TokenNeverListed
	BackendServerGone
	BackendServerSilent
	DataCentreCutOff
	CallerReset
	AwaitsRoom    // the service has too little room
	NoRoom        // the wait for room would be too long
	WaitedTooLong // no room became free within the wait
	QueueFull     // too many flows wait for room
	HostStopping  // the service has too little room, and this host is about to stop
	ReasonCount   // number of reasons
)

var reasonNames = [ReasonCount]string{
	"new_flow", "opening_copy", "known_flow", "unknown_route", "removed_route", "no_backend_server", "no_token",
	"unknown_token", "token_never_listed", "backend_server_gone", "backend_server_silent",
	"data_centre_cut_off",
	"caller_reset", "awaits_room", "no_room", "waited_too_long", "queue_full", "host_stopping",
}

// String returns the name that logs and metrics use for the reason.
func (r Reason) String() string { return reasonNames[r] }

// Verdict is the decision about a packet.
type Verdict struct {
	Action   Action
	Reason   Reason
	Token    uint32         // written into a forwarded packet
	Identity uint64         // identifies the backend server that a forwarded packet is meant for
	Addr     netip.AddrPort // destination of a forwarded packet
	ServerID string
	// Service and DataCentre are those of the backend server. Service is the first one of the route when
	// the reason is NoBackendServer.
	Service, DataCentre string
	PacketEvidence
	// Preference and Flows explain the choice of the backend server for a new flow: its preference, and the number of its
	// flows that this host tracks.
	Preference Preference
	Flows      int
	Admission  overload.Decision // about a new flow
	// ExpectedWork is the expected time of the new flow's first request at the server, relative to its cost: 1 if a slot is
	// likely to be free. It is 0 if the choice does not depend on it.
	ExpectedWork float64
	// OpeningLatency is the time from the opening packet to the caller's first packet after the backend server's answer.
	// It is set on that packet only.
	OpeningLatency time.Duration
}

// PacketEvidence is what a packet of a known flow shows.
type PacketEvidence struct {
	Answered       bool // the backend server has answered since the last packet
	FurtherRequest bool // a request begins that is not the first one that this host sees of the flow it opened
	Repeated       bool // the caller repeats data that this host has forwarded before
}

// FlowReset asks the user of the Router to reset a tracked flow whose backend server is lost.
type FlowReset struct {
	Key      FlowKey
	Seq      uint32 // of the reset packet: the caller's last acknowledgement number
	Reason   Reason
	ServerID string
}
