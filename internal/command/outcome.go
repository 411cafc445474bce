package command

import (
	"net/netip"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// Outcome is something that the caller of this package has to do.
type Outcome interface{ outcome() }

// Ref names the claim and the attempt that a call belongs to.
type Ref struct {
	Key     ClaimKey
	Nonce   uint64
	Attempt int
}

// CallStatus says what is known about a call to another host.
type CallStatus uint8

// Statuses of calls. CallNotSent means that surely nothing was sent.
const (
	CallDone CallStatus = iota
	CallNotSent
	CallLost
)

// StoreClaim asks for a command.claim call; its result goes to ClaimResult.
type StoreClaim struct {
	To      string
	Ref     Ref
	Message ClaimRequest
}

// Run asks for a command.run call, or for a call of the local Runner when Host
// is this host; its result goes to RunResult.
type Run struct {
	Host    string
	Ref     Ref
	Message RunRequest
}

// Answer asks to send Body to the caller. Flow is the flow of the caller's packets.
type Answer struct {
	Flow packet.Key
	Body []byte
}

// Complete asks for a command.complete call whose result is not needed.
type Complete struct {
	To      string
	Message CompleteRequest
}

// Transfer asks for a command.transfer call; its result goes to TransferResult.
type Transfer struct {
	To      string
	Seq     uint64
	Message TransferRequest
}

// QueryCoverage asks for a command.coverage call; its result goes to
// CoverageResult.
type QueryCoverage struct {
	To      string
	Message CoverageRequest
}

// Forward asks to pass the request on to the host that owns its bucket.
type Forward struct{ To string }

// SendBackend asks to send Body to a backend server as a packet of Flow.
type SendBackend struct {
	Backend netip.AddrPort
	Flow    packet.Key
	Body    []byte
}

// Cancel asks to send the cancellation of a command to a backend server.
type Cancel struct {
	Backend netip.AddrPort
	Flow    packet.Key
	Body    []byte
}

// Finish answers the command.run call that was given to Runner.Run.
type Finish struct {
	Call  uint64
	Reply RunReply
}

// ForwardReply asks for a command.reply call to the backend server's admitting host.
type ForwardReply struct{ Message ReplyRequest }

func (StoreClaim) outcome()    {}
func (Run) outcome()           {}
func (Answer) outcome()        {}
func (Complete) outcome()      {}
func (Transfer) outcome()      {}
func (QueryCoverage) outcome() {}
func (Forward) outcome()       {}
func (SendBackend) outcome()   {}
func (Cancel) outcome()        {}
func (Finish) outcome()        {}
func (ForwardReply) outcome()  {}
