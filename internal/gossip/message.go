// Package gossip distributes the contents of the published store among entry hosts.
//
// Hosts exchange small datagrams that carry their revision of the store and its age, recent changes and the addresses of
// a few other hosts. A host that is behind fetches the missing changes over a TCP connection.
package gossip

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

const (
	// MaxDatagram is the largest datagram that hosts send, in bytes.
	MaxDatagram = 8192
	// maxHosts is the maximum number of host addresses in a message. Only answers to a host that has just started carry
	// that many.
	maxHosts = 32
	// SampleHosts is the number of host addresses in any other message that carries some.
	SampleHosts = 8
	// maxLoads is the maximum number of loads in a message.
	maxLoads = 16
	// maxDemands is the maximum number of services whose demand a message contains.
	maxDemands = 16
	// maxServerLoads is the maximum number of backend servers whose load a message contains.
	maxServerLoads = 32
	// maxVotes is the maximum number of votes of other hosts in a message.
	maxVotes = 32
	// maxDataCentres is the maximum number of data centres in a message.
	maxDataCentres = 64
	// maxAgeMs is the maximum age in a message or copy, 139 years. A time.Duration holds 292 years; a time in the future would
	// make a copy count as confirmed for ever.
	maxAgeMs = 1 << 42
	// NeverConfirmed is the age of a copy that the store has never confirmed.
	NeverConfirmed = -1
	// NoRecentOutage is the OutageAgeMs of a sender for which the store has not been unavailable recently.
	NoRecentOutage = -1
)

// Host identifies an entry host in a message.
type Host struct {
	_          struct{}       `cbor:",toarray"`
	Addr       netip.AddrPort // address at which the host receives messages
	DataCentre string
}

// Load is the number of flows from one host to the backend servers of a service in a data centre.
type Load struct {
	_     struct{} `cbor:",toarray"`
	Place uint32   // digest of a service and a data centre
	Flows int
}

// ServiceDemand is what the callers of the sender request of a service.
type ServiceDemand struct {
	_       struct{} `cbor:",toarray"`
	Service uint32   // digest of its name
	Running int      // requests in progress
	Waiting int      // flows that wait for room
}

// ServerLoad is what the sender knows of a backend server.
type ServerLoad struct {
	_       struct{} `cbor:",toarray"`
	Token   uint32   // of the backend server
	Work    uint32   // expected work at the server above the sender's mean over the servers, in thousandths of a request
	Speed   uint8    // in per cent of the usual speed; 0: unknown
	Samples uint8    // number of callers behind Speed
}

// LastContact is the time since the sender itself last received a message from a data centre.
type LastContact struct {
	_          struct{} `cbor:",toarray"`
	DataCentre uint32   // digest of its name
	AgeMs      int64
}

// HostVote is the vote of a host of the sender's data centre, which the sender got from that host.
type HostVote struct {
	_        struct{} `cbor:",toarray"`
	Host     uint32   // digest of its address
	AgeMs    int64    // time since the sender got it
	Withdraw bool
}

// Message is the content of a datagram. It is encoded as an array, so the order of its fields is part of the format.
type Message struct {
	_               struct{} `cbor:",toarray"`
	From            Host
	Revision        uint64
	AgeMs           int64 // time since the sender's copy was confirmed to be current; NeverConfirmed: never
	OutageAgeMs     int64 // time since the store was last unavailable to the sender; NoRecentOutage: not recently
	Leaving         bool
	Reader          netip.AddrPort // address of the host that reads the store for the sender
	ReaderAgeMs     int64          // time since the reader's last message to the sender or to a host that reported it
	NumKnown        int            // number of hosts known to the sender, including itself
	LastContact     []LastContact  // only in messages to hosts of the own data centre of a large fleet
	Hosts           []Host
	Loads           []Load
	After           uint64 // revision to which the changes apply
	Changes         []registry.Update
	Withdraw        bool            // vote: the hosts of the sender's data centre should withdraw from the routers
	SecondHand      []LastContact   // contact ages that other hosts of the sender's data centre reported to it
	Demand          []ServiceDemand // by service, the largest first; without Hosts only of full services
	Servers         []ServerLoad    // backend servers that differ most from the rest
	Ask             bool            // the receiver should answer if it has news, see Members.ShouldAnswer
	Votes           []HostVote      // only while a host of the sender's data centre votes to withdraw
	ReaderHeartbeat uint16          // number of the latest heartbeat of the reader; see readerHeartbeats
	Era             uint64          `cbor:"-"` // of Revision, After and Changes; follows the array unless it is 0
	Holding         bool            `cbor:"-"` // the sender uses knowledge of an older era, which its full copies contain
}

// Version returns the version up to which the sender has all updates.
func (m *Message) Version() registry.Version {
	return registry.Version{Era: m.Era, Revision: m.Revision}
}

// eraFields follow the array of a message if the store has an era, so that eras cost no bytes where there are none.
type eraFields struct {
	_       struct{} `cbor:",toarray"`
	Era     uint64
	Holding bool
}

// Confirmed reports whether the sender's copy has ever been confirmed.
func (m *Message) Confirmed() bool { return m.AgeMs != NeverConfirmed }

// ErrMalformed marks the errors of datagrams and copies that are not valid.
var ErrMalformed = errors.New("malformed message")

// formatVersion is the first byte of a datagram. Hosts that use another version drop the datagram and read the store
// themselves.
const formatVersion = 4

// maxElements bounds the length of each array in a message or copy. A copy lists up to 40,000 backend servers.
const maxElements = 128 << 10

// decoder returns a CBOR decoder mode whose limits reject oversized input before memory is allocated for it.
var decoder = sync.OnceValues(func() (cbor.DecMode, error) {
	return cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: 1 << 10, MaxNestedLevels: 16, IndefLength: cbor.IndefLengthForbidden}.DecMode()
})

// Encode returns the datagram of a message. If the changes would make it larger than MaxDatagram, they are omitted and
// the receiver fetches them instead.
func Encode(m *Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if m.Era > 0 {
		era, err := cbor.Marshal(eraFields{Era: m.Era, Holding: m.Holding})
		if err != nil {
			return nil, errors.Wrap(err, "encode era")
		}
		body = append(body, era...)
	}
	if len(body) < MaxDatagram || len(m.Changes) == 0 {
		return append([]byte{formatVersion}, body...), nil
	}
	short := *m
	short.After, short.Changes = 0, nil
	return Encode(&short)
}

// Decode decodes and validates a datagram.
func Decode(b []byte) (*Message, error) {
	if len(b) == 0 || b[0] != formatVersion {
		return nil, errors.Wrap(ErrMalformed, "unsupported format version")
	}
	mode, err := decoder()
	if err != nil {
		return nil, errors.Wrap(err, "create CBOR decoder")
	}
	var m Message
	rest, err := mode.UnmarshalFirst(b[1:], &m)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode message"), ErrMalformed)
	}
	if len(rest) > 0 {
		var era eraFields
		if err := mode.Unmarshal(rest, &era); err != nil || era.Era == 0 {
			return nil, errors.Wrapf(ErrMalformed, "era %d of a message: %v", era.Era, err)
		}
		m.Era, m.Holding = era.Era, era.Holding
	}
	if !validAge(m.AgeMs, NeverConfirmed) || !validAge(m.OutageAgeMs, NoRecentOutage) || !validAge(m.ReaderAgeMs, 0) || m.NumKnown < 0 || m.NumKnown > maxMembers+1 || !m.From.Addr.IsValid() || m.From.DataCentre == "" || len(m.Hosts) > maxHosts || len(m.LastContact) > maxDataCentres || len(m.Loads) > maxLoads ||
		len(m.SecondHand) > maxDataCentres || len(m.Demand) > maxDemands || len(m.Servers) > maxServerLoads || len(m.Votes) > maxVotes {
		return nil, errors.Wrap(ErrMalformed, "invalid sender, age, host count or list length")
	}
	for _, h := range slices.Concat(m.LastContact, m.SecondHand) {
		if !validAge(h.AgeMs, 0) {
			return nil, errors.Wrap(ErrMalformed, "invalid contact age of a data centre")
		}
	}
	for _, v := range m.Votes {
		if !validAge(v.AgeMs, 0) {
			return nil, errors.Wrap(ErrMalformed, "invalid age of a vote")
		}
	}
	for _, d := range m.Demand {
		if d.Running < 0 || d.Waiting < 0 {
			return nil, errors.Wrap(ErrMalformed, "negative demand")
		}
	}
	for _, l := range m.Loads {
		if l.Flows < 0 {
			return nil, errors.Wrap(ErrMalformed, "load with a negative number of flows")
		}
	}
	for i := range m.Changes {
		if err := validateUpdate(&m.Changes[i]); err != nil {
			return nil, err
		}
	}
	return &m, nil
}

// validAge reports whether an age in milliseconds is from lowest to maxAgeMs.
func validAge(ms, lowest int64) bool { return ms >= lowest && ms <= maxAgeMs }

func validateUpdate(u *registry.Update) error {
	if u.Key == "" || u.Revision == 0 {
		return errors.Wrap(ErrMalformed, "change without key or revision")
	}
	if s := u.Server; s != nil && (s.Identity == 0 || !s.Addr.IsValid() || s.Slots <= 0 || s.Service == "") {
		return errors.Wrap(ErrMalformed, "incomplete backend server")
	}
	if o := u.Older; o != nil && o.Server != nil && (o.Server.Identity == 0 || !o.Server.Addr.IsValid() || o.Server.Slots <= 0 || o.Server.Service == "") {
		return errors.Wrap(ErrMalformed, "incomplete backend server of an older era")
	}
	if u.Unreadable && (u.Identity == 0 || u.Removed || u.ReadRevision >= u.Revision || u.Server != nil && u.Server.Identity != u.Identity) {
		return errors.Wrap(ErrMalformed, "unreadable entry without identity, of another backend server, or read later than written")
	}
	return nil
}
