package command

import (
	"net/netip"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// Outcome is an action that the code using this package has to carry out.
type Outcome interface{ outcome() }

// Ref identifies the claim and the attempt that a call belongs to.
type Ref struct {
	Key     ClaimKey
	Nonce   uint64
	Attempt int
}

// CallStatus is the status of a call to another host.
type CallStatus uint8

// Statuses of calls. CallNotSent means that certainly nothing was sent, CallLost
// that the call may have been handled but has no result.
const (
	CallDone CallStatus = iota
	CallNotSent
	CallLost
)

// StoreClaim requests a command.claim call; its result goes to ClaimResult.
type StoreClaim struct {
	To      string
	Ref     Ref
	Message ClaimRequest
}

// Run requests a command.run call, or a call of the local Runner when Host
// is this host; its result goes to RunResult.
type Run struct {
	Host    string
	Ref     Ref
	Message RunRequest
}

// Answer requests that Body is sent to the caller. Flow is the flow of the
// caller's packets.
type Answer struct {
	Flow packet.Key
	Body []byte
}

// Complete requests a command.complete call whose result is not needed.
type Complete struct {
	To      string
	Message CompleteRequest
}

// Transfer requests a command.transfer call; its result goes to TransferResult.
type Transfer struct {
	To      string
	Seq     uint64
	Message TransferRequest
}

// QueryCoverage requests a command.coverage call; its result goes to
// CoverageResult.
type QueryCoverage struct {
	To      string
	Message CoverageRequest
}

// Forward requests that the caller's request is forwarded to an owner of its
// bucket.
type Forward struct{ To string }

// SendBackend requests that Body is sent to a backend server as a packet of Flow.
type SendBackend struct {
	Backend netip.AddrPort
	Flow    packet.Key
	Body    []byte
}

// Cancel requests that the cancellation of a command is sent to a backend server.
type Cancel struct {
	Backend netip.AddrPort
	Flow    packet.Key
	Body    []byte
}

// Finish requests that Reply is returned to the command.run call with number
// Call, which was passed to Runner.Run.
type Finish struct {
	Call  uint64
	Reply RunReply
}

// ForwardReply requests a command.reply call to the backend server's admitting
// host.
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
