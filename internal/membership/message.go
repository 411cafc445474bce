package membership

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// Limits of a message. They ensure that every encoded and sealed message fits in
// a datagram of 1,200 bytes. With six updates in every message and ids of usual
// length, the traffic of a host is near 4 KB per second.
const (
	MaxIDBytes      = 64
	MaxUpdates      = 6
	MaxMessageBytes = 1100
)

// Kind is the purpose of a message.
type Kind uint8

// Kinds of messages.
const (
	Probe    Kind = iota + 1 // requests an Ack with the same Seq
	Ack                      // answers a Probe, or a Request when Target is set
	Request                  // requests that the receiver probe Target
	maxKind  = Request
	jsonrpc2 = "2.0"
)

var methods = [...]string{Probe: "probe", Ack: "ack", Request: "probe.request"}

// String returns the JSON-RPC method of the kind.
func (k Kind) String() string {
	if k == 0 || k > maxKind {
		return "invalid"
	}
	return methods[k]
}

// Message is the content of one probe datagram. The sender's id and boot are
// part of the sealed datagram and are not repeated here.
type Message struct {
	Kind        Kind
	Seq         uint64
	Target      string // Request: the host to probe; Ack: the host probed on request
	Incarnation uint64 // the sender's own
	Leaving     bool   // the sender is leaving
	Digest      uint64 // of the sender's accepted configuration, not interpreted by this package
	Updates     []Update
}

// Update is the state of a host as another host has recorded it.
type Update struct {
	ID          string
	Boot        uint64
	Incarnation uint64
	Status      Status // Alive, Suspect or Dead
	Leaving     bool
}

// leavingBit is set in the status number of an encoded update if the host is
// leaving.
const leavingBit = 4

// MarshalJSON writes the array [id, boot, incarnation, status], because field
// names would make up half of a probe datagram.
func (u Update) MarshalJSON() ([]byte, error) {
	status := int(u.Status)
	if u.Leaving {
		status |= leavingBit
	}
	return json.Marshal([4]any{u.ID, u.Boot, u.Incarnation, status})
}

// UnmarshalJSON reads the form that MarshalJSON writes.
func (u *Update) UnmarshalJSON(b []byte) error {
	var fields []json.RawMessage
	if err := json.Unmarshal(b, &fields); err != nil {
		return err
	}
	if len(fields) != 4 {
		return errors.Newf("update has %d fields, want 4", len(fields))
	}
	var status uint8
	for i, v := range []any{&u.ID, &u.Boot, &u.Incarnation, &status} {
		if err := json.Unmarshal(fields[i], v); err != nil {
			return err
		}
	}
	u.Leaving = status&leavingBit != 0
	u.Status = Status(status &^ leavingBit)
	if u.Status > Dead {
		return errors.Newf("update has status %d, want at most %d", u.Status, Dead)
	}
	return checkID(u.ID)
}

// checkID accepts the ids whose JSON form is as long as the id, so that the
// limits above bound the size of a message.
func checkID(id string) error {
	if id == "" || len(id) > MaxIDBytes {
		return errors.Newf("host id has %d bytes, want 1 to %d", len(id), MaxIDBytes)
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' || strings.IndexByte("\"\\<>&", c) >= 0 {
			return errors.Newf("host id %q has byte %q, want printable ASCII without \"\\<>& and space", id, c)
		}
	}
	return nil
}

type notification struct {
	Version string `json:"jsonrpc"`
	Method  string `json:"method"`
	Params  params `json:"params"`
}

type params struct {
	Seq         uint64   `json:"seq"`
	Target      string   `json:"target,omitempty"`
	Incarnation uint64   `json:"inc,omitempty"`
	Leaving     bool     `json:"leaving,omitempty"`
	Digest      uint64   `json:"digest,string,omitempty"`
	Updates     []Update `json:"up,omitempty"`
}

// Encode returns the message as a JSON-RPC 2.0 notification.
func (m Message) Encode() ([]byte, error) {
	return json.Marshal(notification{
		Version: jsonrpc2,
		Method:  m.Kind.String(),
		Params: params{
			Seq: m.Seq, Target: m.Target, Incarnation: m.Incarnation,
			Leaving: m.Leaving, Digest: m.Digest, Updates: m.Updates,
		},
	})
}

// DecodeMessage decodes and validates a message that Encode has written.
func DecodeMessage(b []byte) (Message, error) {
	if len(b) > MaxMessageBytes {
		return Message{}, errors.Newf("message has %d bytes, want at most %d", len(b), MaxMessageBytes)
	}
	var n notification
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&n); err != nil {
		return Message{}, errors.Wrap(err, "decode message")
	}
	if d.InputOffset() != int64(len(b)) {
		return Message{}, errors.New("message has trailing data")
	}
	if n.Version != jsonrpc2 {
		return Message{}, errors.Newf("message has version %q, want %q", n.Version, jsonrpc2)
	}
	p := n.Params
	m := Message{
		Seq: p.Seq, Target: p.Target, Incarnation: p.Incarnation,
		Leaving: p.Leaving, Digest: p.Digest, Updates: p.Updates,
	}
	for k := Probe; k <= maxKind; k++ {
		if n.Method == methods[k] {
			m.Kind = k
		}
	}
	return m, m.check()
}

func (m *Message) check() error {
	if m.Kind == 0 {
		return errors.New("message has an unknown method")
	}
	if len(m.Updates) > MaxUpdates {
		return errors.Newf("message has %d updates, want at most %d", len(m.Updates), MaxUpdates)
	}
	if m.Kind == Request || m.Target != "" {
		return checkID(m.Target)
	}
	return nil
}
