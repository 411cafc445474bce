// Package gossip lets entry hosts tell each other what they have read of the published store.
//
// Hosts send each other small datagrams with their revision and its age, the changes they have just learned and a few
// addresses of other hosts. Whoever misses changes fetches them over a connection.
package gossip

import (
	"encoding/json"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

const (
	// MaxDatagram is the largest datagram that hosts send, in bytes.
	MaxDatagram = 8192
	// maxHosts is the number of host addresses in a message.
	maxHosts = 8
	// maxLoads is the number of loads in a message.
	maxLoads = 16
	// NeverConfirmed is the age of a copy that the store has never confirmed.
	NeverConfirmed = -1
)

// Host is an entry host as a message names it.
type Host struct {
	Addr       netip.AddrPort `json:"addr"` // where it takes messages
	DataCentre string         `json:"dc"`
}

// Load is the number of flows that a host has at the backend servers of a service in a data centre.
type Load struct {
	Service    string `json:"service"`
	DataCentre string `json:"dc"`
	Flows      int    `json:"flows"`
}

// Message is what a host tells another one.
type Message struct {
	From     Host              `json:"from"`
	Revision uint64            `json:"rev"`
	AgeMs    int64             `json:"age"` // since its copy was confirmed
	Leaving  bool              `json:"leaving,omitempty"`
	Reader   Host              `json:"reader"`     // that reads the store for the sender
	ReaderMs int64             `json:"reader_age"` // since the reader was heard, by whoever heard it
	Hosts    []Host            `json:"hosts,omitempty"`
	Loads    []Load            `json:"loads,omitempty"`
	After    uint64            `json:"after,omitempty"` // revision that the changes follow
	Changes  []registry.Update `json:"changes,omitempty"`
}

// Confirmed reports whether the sender's copy was ever confirmed.
func (m *Message) Confirmed() bool { return m.AgeMs != NeverConfirmed }

// ErrMalformed is the error of a datagram that is not a message.
var ErrMalformed = errors.New("malformed message")

// Encode returns the datagram of a message. Changes that make it too large are left out; the receiver fetches them.
func Encode(m *Message) ([]byte, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(b) <= MaxDatagram || len(m.Changes) == 0 {
		return b, nil
	}
	short := *m
	short.After, short.Changes = 0, nil
	return Encode(&short)
}

// Decode checks and decodes a datagram.
func Decode(b []byte) (*Message, error) {
	var m Message
	if err := json.Unmarshal(b, &m); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode message"), ErrMalformed)
	}
	if m.AgeMs < NeverConfirmed || m.ReaderMs < 0 || !m.From.Addr.IsValid() || m.From.DataCentre == "" || len(m.Hosts) > maxHosts || len(m.Loads) > maxLoads {
		return nil, errors.Wrap(ErrMalformed, "sender or hosts")
	}
	for _, l := range m.Loads {
		if l.Service == "" || l.DataCentre == "" || l.Flows < 0 {
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
