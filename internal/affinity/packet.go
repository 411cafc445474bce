// Package affinity forwards the packets of flows whose ends return a token.
//
// The host writes the token of the chosen backend server on a flow's opening packet, and both ends write it on every
// later one, so that any host can tell where the flow lives without having seen it. What the package remembers of flows
// only improves its choices; nothing is lost when a host forgets it.
package affinity

import (
	"net/netip"
	"time"
)

// Packet is what the decision needs to know of a packet from a caller.
type Packet struct {
	Caller  netip.AddrPort
	Service netip.AddrPort // the address that the caller sent to
	Opening bool           // asks for a new flow
	Closing bool           // the caller sends nothing after it
	Reset   bool
	Copy    uint32 // of an opening packet: how many were sent before
	Token   uint32
	Seq     uint32
	Ack     uint32
	Length  int // bytes of data
}

// FlowKey names a flow by its two ends.
type FlowKey struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
}

// Key returns the flow that the packet belongs to.
func (p *Packet) Key() FlowKey { return FlowKey{Caller: p.Caller, Service: p.Service} }

// Action is what the host does with a packet.
type Action uint8

// Actions.
const (
	Drop Action = iota
	Forward
	Reject // answer the caller with a reset
)

// Reason says why an action was taken.
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
	CallerReset
	ReasonCount // number of reasons
)

var reasonNames = [ReasonCount]string{
	"new_flow", "opening_copy", "known_flow", "unknown_route", "removed_route", "no_backend_server", "no_token",
	"unknown_token", "token_never_listed", "backend_server_gone", "backend_server_silent",
	"caller_reset",
}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Verdict is the decision about a packet.
type Verdict struct {
	Action   Action
	Reason   Reason
	Token    uint32         // to write on a forwarded packet
	Identity uint64         // names the receiver of a forwarded packet
	Addr     netip.AddrPort // where a forwarded packet goes
	ServerID string
	// Preference and Flows say why the backend server of a new flow was chosen: its rank, and its flows known here.
	Preference Preference
	Flows      int
	// OpeningLatency is the time until the backend server's answer to an opening packet, on the packet that proves it.
	OpeningLatency time.Duration
}

// FlowReset asks for the reset of a known flow whose backend server is lost.
type FlowReset struct {
	Key      FlowKey
	Seq      uint32 // the caller's last acknowledgement
	Reason   Reason
	ServerID string
}
