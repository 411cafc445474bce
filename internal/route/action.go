package route

import (
	"net/netip"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// ActionKind is what is done with a packet.
type ActionKind uint8

// Kinds of actions.
const (
	Drop        ActionKind = iota
	ToBackend              // send to Action.Backend
	ToPeer                 // send to Action.Peer with Action.Header
	ToCaller               // send to the fabric's return address
	ResetCaller            // answer the caller with a TCP reset
	ToCommand              // pass to the command handler of this host
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
	Reason  Reason         // of Drop and ResetCaller
	Backend *Backend       // receiver of ToBackend, or sender of a packet from a backend server
	Peer    netip.AddrPort // receiver of ToPeer
	Header  packet.ForwardHeader
}

func drop(r Reason) Action { return Action{Kind: Drop, Reason: r} }

func toBackend(b *Backend) Action { return Action{Kind: ToBackend, Backend: b} }

// resetOrDrop returns the action for a packet of a flow whose backend server
// must not receive it any more. A TCP caller is reset, because its connection
// ended with the old process; any other packet is dropped.
func resetOrDrop(info *packet.Info, r Reason) Action {
	if info.Key.Proto == packet.ProtoTCP && !info.RST() {
		return Action{Kind: ResetCaller, Reason: r}
	}
	return drop(r)
}
