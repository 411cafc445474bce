// Package gossip lets entry hosts tell each other what they have read of the published store.
//
// Hosts send each other small datagrams with their revision and its age, the changes they have just learned and a few
// addresses of other hosts. Whoever misses changes fetches them over a connection.
package gossip

import (
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

const (
	// MaxDatagram is the largest datagram that hosts send, in bytes.
	MaxDatagram = 8192
	// maxHosts is the number of host addresses in a message to a host that has just started.
	maxHosts = 32
	// SampleHosts is the number of host addresses in any other message that names some.
	SampleHosts = 8
	// maxLoads is the number of loads in a message.
	maxLoads = 16
	// maxDataCentres is the number of data centres in a message.
	maxDataCentres = 64
	// NeverConfirmed is the age of a copy that the store has never confirmed.
	NeverConfirmed = -1
	// NoRecentOutage stands for a store that was not away lately.
	NoRecentOutage = -1
)

// Host is an entry host as a message names it.
type Host struct {
	_          struct{}       `cbor:",toarray"`
	Addr       netip.AddrPort // where it takes messages
	DataCentre string
}

// Load is the number of flows that a host has at the backend servers of a place.
type Load struct {
	_     struct{} `cbor:",toarray"`
	Place uint32   // digest of a service and a data centre
	Flows int
}

// LastContact tells how long ago the sender itself last had a message from a data centre.
type LastContact struct {
	_          struct{} `cbor:",toarray"`
	DataCentre uint32   // digest of its name
	AgeMs      int64
}

// Message is what a host tells another one. Its fields travel without names, in this order.
type Message struct {
	_           struct{} `cbor:",toarray"`
	From        Host
	Revision    uint64
	AgeMs       int64 // since its copy was confirmed
	OutageAgeMs int64 // since the store was away from the sender; NoRecentOutage: not lately
	Leaving     bool
	Reader      netip.AddrPort // of the host that reads the store for the sender
	ReaderAgeMs int64          // since the reader was heard, by whoever heard it
	NumKnown    int            // hosts that the sender has heard of, itself included
	LastContact []LastContact  // to hosts of the own data centre, in a large fleet
	Hosts       []Host
	Loads       []Load
	After       uint64 // revision that the changes follow
	Changes     []registry.Update
}

// Confirmed reports whether the sender's copy was ever confirmed.
func (m *Message) Confirmed() bool { return m.AgeMs != NeverConfirmed }

// ErrMalformed is the error of a datagram that is not a message.
var ErrMalformed = errors.New("malformed message")

// formatVersion is the first byte of a datagram. Hosts of another version drop it, and read the store themselves.
const formatVersion = 2

// maxElements bounds the lists of a message or copy and of what they hold: a copy names up to 40,000 backend servers.
const maxElements = 128 << 10

// decoder refuses what no host sends before it takes memory for it.
var decoder = sync.OnceValues(func() (cbor.DecMode, error) {
	return cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: 1 << 10, MaxNestedLevels: 16, IndefLength: cbor.IndefLengthForbidden}.DecMode()
})

// Encode returns the datagram of a message. Changes that make it too large are left out; the receiver fetches them.
func Encode(m *Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(body) < MaxDatagram || len(m.Changes) == 0 {
		return append([]byte{formatVersion}, body...), nil
	}
	short := *m
	short.After, short.Changes = 0, nil
	return Encode(&short)
}

// Decode checks and decodes a datagram.
func Decode(b []byte) (*Message, error) {
	if len(b) == 0 || b[0] != formatVersion {
		return nil, errors.Wrap(ErrMalformed, "not a message of this version")
	}
	mode, err := decoder()
	if err != nil {
		return nil, errors.Wrap(err, "limits of messages")
	}
	var m Message
	if err := mode.Unmarshal(b[1:], &m); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode message"), ErrMalformed)
	}
	if m.AgeMs < NeverConfirmed || m.OutageAgeMs < NoRecentOutage || m.ReaderAgeMs < 0 || m.NumKnown < 0 || m.NumKnown > maxMembers+1 || !m.From.Addr.IsValid() || m.From.DataCentre == "" || len(m.Hosts) > maxHosts || len(m.LastContact) > maxDataCentres || len(m.Loads) > maxLoads {
		return nil, errors.Wrap(ErrMalformed, "sender or hosts")
	}
	for _, h := range m.LastContact {
		if h.AgeMs < 0 {
			return nil, errors.Wrap(ErrMalformed, "age of a data centre")
		}
	}
	for _, l := range m.Loads {
		if l.Flows < 0 {
			return nil, errors.Wrap(ErrMalformed, "load")
		}
	}
	for i := range m.Changes {
		if err := check(&m.Changes[i]); err != nil {
			return nil, err
		}
	}
	return &m, nil
}

func check(u *registry.Update) error {
	if u.Key == "" || u.Revision == 0 {
		return errors.Wrap(ErrMalformed, "change without key or revision")
	}
	if s := u.Server; s != nil && (s.Identity == 0 || !s.Addr.IsValid() || s.Slots <= 0 || s.Service == "") {
		return errors.Wrap(ErrMalformed, "incomplete backend server")
	}
	return nil
}
