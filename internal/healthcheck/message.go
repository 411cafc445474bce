package healthcheck

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/affinity"
)

const (
	// MaxDatagram is the largest datagram that hosts send, in bytes.
	MaxDatagram = 1024
	// formatVersion is the first byte of a datagram. It differs from that of all other messages between hosts.
	formatVersion = 0x80
	// MaxFindings is the maximum number of findings in a datagram.
	MaxFindings = 4
	// maxAsks is the maximum number of backend servers in a datagram that the receiver is asked to check.
	maxAsks = 16
)

// ErrMalformed marks the errors of datagrams that are not valid.
var ErrMalformed = errors.New("malformed message about checks")

// Message is the content of a datagram.
type Message struct {
	Asks     []affinity.Instance // backend servers that the receiver is asked to check
	Findings []Finding
}

// maxDatableDelay is the longest time that a message may have waited at its receiver for its findings to be dated: it is shorter
// than the time after which a check without an answer ends.
const maxDatableDelay = 100 * time.Millisecond

// AdjustForDelay adjusts the findings of a message that may have waited for a time before it was decoded, because of which they
// seem younger than they are. It removes checks without an answer if they can't be dated any more, and returns their number.
func (m *Message) AdjustForDelay(waited time.Duration) (removed int) {
	found := len(m.Findings)
	late := waited > maxDatableDelay
	m.Findings = slices.DeleteFunc(m.Findings, func(f Finding) bool { return late && f.Outcome == affinity.NoAnswer })
	for i := range m.Findings {
		f := &m.Findings[i]
		f.Late = late
		if f.Outcome == affinity.NoAnswer {
			f.At -= waited
		}
	}
	return found - len(m.Findings)
}

// DropExpired removes outdated findings, because of which receivers would refuse the whole message. It leaves the slice that the
// message was made from as it is.
func (m *Message) DropExpired(now time.Duration) {
	m.Findings = slices.DeleteFunc(slices.Clone(m.Findings), func(f Finding) bool { return f.Expired(now) })
}

// wireMessage, wireInstance and wireFinding are the encoded forms, arrays without names.
type wireMessage struct {
	_        struct{} `cbor:",toarray"`
	Asks     []wireInstance
	Findings []wireFinding
}

type wireInstance struct {
	_         struct{} `cbor:",toarray"`
	Identity  uint64
	StartedMs int64
}

type wireFinding struct {
	_        struct{} `cbor:",toarray"`
	Instance wireInstance
	Outcome  uint8
	Checker  uint32
	AgeMs    int64
}

// decoder returns a CBOR decoder mode that rejects oversized input before memory is allocated for it.
var decoder = sync.OnceValues(func() (cbor.DecMode, error) {
	return cbor.DecOptions{MaxArrayElements: maxAsks, MaxMapPairs: 16, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden}.DecMode()
})

// IsMessage reports whether a datagram of another host holds a Message, if it is valid.
func IsMessage(b []byte) bool { return len(b) > 0 && b[0] == formatVersion }

// Encode returns the datagram of a message that is sent now.
func Encode(m *Message, now time.Duration) ([]byte, error) {
	var w wireMessage
	for _, i := range m.Asks[:min(len(m.Asks), maxAsks)] {
		w.Asks = append(w.Asks, wireInstance{Identity: i.Identity, StartedMs: i.StartedMs})
	}
	for _, f := range m.Findings[:min(len(m.Findings), MaxFindings)] {
		instance := wireInstance{Identity: f.Instance.Identity, StartedMs: f.Instance.StartedMs}
		w.Findings = append(w.Findings, wireFinding{Instance: instance, Outcome: uint8(f.Outcome), Checker: f.Checker, AgeMs: (now - f.At).Milliseconds()})
	}
	body, err := cbor.Marshal(&w)
	if err != nil {
		return nil, errors.Wrap(err, "encode message about checks")
	}
	return append([]byte{formatVersion}, body...), nil
}

// Decode decodes and validates a datagram that has been received now.
func Decode(b []byte, now time.Duration) (*Message, error) {
	if !IsMessage(b) || len(b) > MaxDatagram {
		return nil, errors.Wrap(ErrMalformed, "unsupported format version or length")
	}
	mode, err := decoder()
	if err != nil {
		return nil, errors.Wrap(err, "create CBOR decoder")
	}
	var w wireMessage
	if err := mode.Unmarshal(b[1:], &w); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode message about checks"), ErrMalformed)
	}
	if len(w.Findings) > MaxFindings {
		return nil, errors.Wrap(ErrMalformed, "too many findings")
	}
	m := &Message{}
	for _, i := range w.Asks {
		m.Asks = append(m.Asks, affinity.Instance{Identity: i.Identity, StartedMs: i.StartedMs})
	}
	for _, f := range w.Findings {
		if f.AgeMs < 0 || f.AgeMs > evidenceLifetime.Milliseconds() || f.Outcome > uint8(affinity.AcceptsAgain) {
			return nil, errors.Wrap(ErrMalformed, "invalid age or outcome")
		}
		m.Findings = append(m.Findings, Finding{
			Instance: affinity.Instance{Identity: f.Instance.Identity, StartedMs: f.Instance.StartedMs},
			Outcome:  affinity.CheckOutcome(f.Outcome), Checker: f.Checker, At: now - time.Duration(f.AgeMs)*time.Millisecond,
		})
	}
	return m, nil
}
