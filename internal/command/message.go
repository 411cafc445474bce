package command

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

// Methods of the calls between entry hosts.
const (
	MethodClaim    = "command.claim"
	MethodRun      = "command.run"
	MethodComplete = "command.complete"
	MethodReply    = "command.reply"
	MethodTransfer = "command.transfer"
	MethodCoverage = "command.coverage"
)

// ClaimKey identifies a request of a caller.
type ClaimKey struct {
	Service string         `json:"service"`
	Caller  netip.AddrPort `json:"caller"`
	ID      string         `json:"id"`
}

// ClaimOwner identifies the run that a claim permits. Origin is the host that
// may start the command. Nonce distinguishes the claims of that host, also
// across its restarts.
type ClaimOwner struct {
	Origin string `json:"origin"`
	Nonce  uint64 `json:"nonce"`
}

// ClaimState is the state of a claim.
type ClaimState uint8

// States of claims.
const (
	Pending ClaimState = iota + 1
	Answered
	Unknown
)

// ClaimRecord is a claim as it is sent between hosts. An Answered claim has no
// Answer when the answer was too large to transfer or did not fit the sender's
// claim table.
type ClaimRecord struct {
	ClaimKey
	ClaimOwner
	Bucket      uint8           `json:"bucket"`
	Digest      uint64          `json:"digest"`
	State       ClaimState      `json:"state"`
	RemainingMS int64           `json:"remaining_ms,omitempty"`
	Answer      json.RawMessage `json:"answer,omitempty"`
	Reason      Reason          `json:"reason,omitempty"`
}

// ClaimRequest asks the other owner of a bucket to store a claim.
type ClaimRequest struct {
	ClaimRecord
}

// ClaimReply answers a ClaimRequest. Known is the claim that the other owner
// already holds for another run of the request. Complete is set if the other
// owner has held every claim of the bucket for the retention period.
type ClaimReply struct {
	Stored   bool         `json:"stored,omitempty"`
	Complete bool         `json:"complete,omitempty"`
	Known    *ClaimRecord `json:"known,omitempty"`
	Refused  Reason       `json:"refused,omitempty"`
}

// RunRequest asks the admitting host of a backend server to run a command.
type RunRequest struct {
	ClaimKey
	ClaimOwner
	Digest     uint64          `json:"digest"`
	Target     netip.AddrPort  `json:"target"` // command address of the service
	Backend    netip.AddrPort  `json:"backend"`
	Attempt    int             `json:"attempt"`
	Idempotent bool            `json:"idempotent,omitempty"`
	Method     string          `json:"method"`
	Params     json.RawMessage `json:"params,omitempty"`
	DeadlineMS int64           `json:"deadline_ms"`
	// Expires is the deadline on the admitting host's clock in Unix
	// milliseconds, 0 if the owner has no offset of that clock yet.
	Expires int64 `json:"expires,omitempty"`
	// Wait allows the command to wait for a slot.
	Wait bool `json:"wait,omitempty"`
}

// flow returns the flow of the caller's packets.
func (m *RunRequest) flow() packet.Key {
	return packet.NewKey(m.Caller, m.Target, packet.ProtoUDP)
}

// RunOutcome is the outcome of a run.
type RunOutcome uint8

// Outcomes of runs. RunNotRun means that the command was certainly not run,
// RunMismatch that its request id was used with other content.
const (
	RunAnswered RunOutcome = iota + 1
	RunNotRun
	RunUnknown
	RunMismatch
)

// RunReply answers a RunRequest. Clock is the admitting host's clock in Unix
// milliseconds. WaitMS is the expected wait for a slot, 0 when the command may
// not wait.
type RunReply struct {
	Outcome RunOutcome      `json:"outcome"`
	Reason  Reason          `json:"reason,omitempty"`
	Answer  json.RawMessage `json:"answer,omitempty"`
	Clock   int64           `json:"clock"`
	WaitMS  int64           `json:"wait_ms,omitempty"`
}

// CompleteRequest sends the final state of a claim to another owner.
type CompleteRequest struct {
	ClaimRecord
}

// ReplyRequest forwards a backend server's reply to its admitting host, or from
// there to the host that admitted the backend server's commands before.
type ReplyRequest struct {
	Backend netip.AddrPort  `json:"backend"`
	Caller  netip.AddrPort  `json:"caller"`
	Target  netip.AddrPort  `json:"target"`
	Body    json.RawMessage `json:"body"`
	// Final is set if the receiver must not forward the reply.
	Final bool `json:"final,omitempty"`
}

// Flow returns the flow of the caller's packets.
func (m *ReplyRequest) Flow() packet.Key {
	return packet.NewKey(m.Caller, m.Target, packet.ProtoUDP)
}

// TransferRequest sends claims to a new owner. Done lists the buckets whose
// claims have all been sent; these claims cover the last CoveredMS milliseconds.
// Generation is that of the receiver's last reply, 0 in the first message.
type TransferRequest struct {
	Service    string        `json:"service"`
	Generation uint64        `json:"generation,omitempty"`
	Claims     []ClaimRecord `json:"claims,omitempty"`
	Done       []uint8       `json:"done,omitempty"`
	CoveredMS  int64         `json:"age_ms,omitempty"`
}

// TransferReply answers a TransferRequest. Refused holds the reason for which
// the request must be repeated. Generation changes when the receiver starts, its
// buckets change owners or it is interrupted: claims sent before may then be
// missing.
type TransferReply struct {
	Generation uint64 `json:"generation,omitempty"`
	Refused    Reason `json:"refused,omitempty"`
}

// CoverageRequest asks the other owner of Buckets whether the sender may stop:
// whether the receiver, like the sender, has seen every claim of the last
// CoveredMS milliseconds.
type CoverageRequest struct {
	Service   string  `json:"service"`
	Buckets   []uint8 `json:"buckets"`
	CoveredMS int64   `json:"age_ms"`
}

// CoverageReply answers a CoverageRequest. Covered lists the buckets for which
// the receiver has seen these claims.
type CoverageReply struct {
	Covered []uint8 `json:"covered,omitempty"`
	Refused Reason  `json:"refused,omitempty"`
}

func milliseconds(d time.Duration) int64 { return max(0, d.Milliseconds()) }
