package route

import (
	"net/netip"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// ActionKind says what happens to a packet.
type ActionKind uint8

// Kinds of actions.
const (
	Drop        ActionKind = iota
	ToBackend              // send to Action.Backend
	ToPeer                 // send to Action.Peer with Action.Header
	ToCaller               // send to the fabric's return address
	ResetCaller            // answer the caller with a TCP reset
	ToCommand              // give to the command handling of this host
)

var actionNames = [...]string{
	Drop: "drop", ToBackend: "to_backend", ToPeer: "to_peer",
	ToCaller: "to_caller", ResetCaller: "reset_caller", ToCommand: "to_command",
}

// String returns the name that logs and reports use.
func (k ActionKind) String() string {
	if int(k) < len(actionNames) {
		return actionNames[k]
	}
	return "unknown"
}

// Action is the decision about one packet.
type Action struct {
	Kind    ActionKind
	Reason  Reason   // of Drop and ResetCaller
	Backend *Backend // receiver, or sender of a reply to a command
	Peer    netip.AddrPort
	Header  packet.ForwardHeader
}

func drop(r Reason) Action { return Action{Kind: Drop, Reason: r} }

func toBackend(b *Backend) Action { return Action{Kind: ToBackend, Backend: b} }

// ended is the action for a packet of a flow whose backend server must not
// receive it any more: its TCP connection ended with the old process.
func ended(info *packet.Info, r Reason) Action {
	if info.Key.Proto == packet.ProtoTCP && !info.RST() {
		return Action{Kind: ResetCaller, Reason: r}
	}
	return drop(r)
}
