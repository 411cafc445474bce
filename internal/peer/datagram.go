package peer

import (
	"encoding/binary"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/dchest/siphash"
)

// DatagramVersion is the first byte of a sealed datagram. Forwarded packets,
// which arrive on the same port, start with 0x03.
const DatagramVersion = 0x02

// Sizes of sealed datagrams, in bytes. windowLength is in sequence numbers.
const (
	MaxDatagram  = 1200
	MaxIDBytes   = 64
	tagBytes     = 8
	fixedBytes   = 1 + 1 + 8 + 8 // version, id length, boot, sequence
	windowLength = 64
	// MaxReport bounds the content of a report datagram in bytes. The body
	// consists of one byte for the kind of the report and the content.
	MaxReport = MaxDatagram - fixedBytes - MaxIDBytes - tagBytes - 1
)

// Bytes that a message between entry hosts takes in addition to its content.
const (
	// DatagramOverhead is the size of the IPv4 and UDP headers, the kind of the
	// report, and the header and tag of the datagram with a sender id of 16 bytes.
	DatagramOverhead = 28 + 1 + fixedBytes + 16 + tagBytes
	// CallOverhead is the size of the headers of a request, a response and two
	// acknowledgements, their frame lengths and JSON-RPC envelopes.
	CallOverhead = 330
)

// Reasons for which a datagram is refused.
var (
	ErrTruncated      = errors.New("datagram is truncated")
	ErrTooLarge       = errors.New("datagram is longer than 1200 bytes")
	ErrUnknownVersion = errors.New("datagram has an unknown version")
	ErrInvalidSender  = errors.New("datagram has an invalid sender id")
	ErrWrongTag       = errors.New("datagram has a wrong tag")
	ErrReplayed       = errors.New("datagram was received before")
	ErrTooOld         = errors.New("datagram is older than the replay window")
	ErrOldBoot        = errors.New("datagram is of a replaced process")
)

// Datagram is an authenticated datagram. Body shares memory with the input.
type Datagram struct {
	From string
	Boot uint64
	Seq  uint64
	Body []byte
	// Replaced is set by a ReplayFilter that has accepted a datagram of a newer
	// process of the sender.
	Replaced bool
}

// SealDatagram appends an authenticated datagram with the body to dst. The layout
// is: version, id length, id, boot, sequence, body, SipHash-2-4 tag over all of it.
func SealDatagram(dst []byte, key *[16]byte, from string, boot, seq uint64, body []byte) []byte {
	start := len(dst)
	dst = append(dst, DatagramVersion, byte(len(from)))
	dst = append(dst, from...)
	dst = binary.BigEndian.AppendUint64(dst, boot)
	dst = binary.BigEndian.AppendUint64(dst, seq)
	dst = append(dst, body...)
	return binary.BigEndian.AppendUint64(dst, tag(key, dst[start:]))
}

// OpenDatagram checks the tag of a datagram and decodes it. It does not detect
// replays; a ReplayFilter does.
func OpenDatagram(b []byte, key *[16]byte) (Datagram, error) {
	if len(b) > MaxDatagram {
		return Datagram{}, ErrTooLarge
	}
	if len(b) < fixedBytes+tagBytes {
		return Datagram{}, ErrTruncated
	}
	if b[0] != DatagramVersion {
		return Datagram{}, ErrUnknownVersion
	}
	idLen := int(b[1])
	if idLen == 0 || idLen > MaxIDBytes {
		return Datagram{}, ErrInvalidSender
	}
	if len(b) < fixedBytes+idLen+tagBytes {
		return Datagram{}, ErrTruncated
	}
	signed := b[:len(b)-tagBytes]
	if binary.BigEndian.Uint64(b[len(signed):]) != tag(key, signed) {
		return Datagram{}, ErrWrongTag
	}
	rest := signed[2+idLen:]
	return Datagram{
		From: string(signed[2 : 2+idLen]),
		Boot: binary.BigEndian.Uint64(rest),
		Seq:  binary.BigEndian.Uint64(rest[8:]),
		Body: rest[16:],
	}, nil
}

func tag(key *[16]byte, b []byte) uint64 {
	k0 := binary.LittleEndian.Uint64(key[:8])
	k1 := binary.LittleEndian.Uint64(key[8:])
	return siphash.Hash(k0, k1, b)
}

// Datagrams seals and opens the datagrams of one host. It may be used
// concurrently.
type Datagrams struct {
	self   string
	boot   uint64
	key    [16]byte
	seq    atomic.Uint64
	filter *ReplayFilter
	set    *metrics.Set
}

// NewDatagrams returns the Datagrams of the host self, whose refusals are
// counted in set.
func NewDatagrams(self string, boot uint64, key [16]byte, set *metrics.Set) *Datagrams {
	return &Datagrams{self: self, boot: boot, key: key, filter: NewReplayFilter(), set: set}
}

// Seal appends a datagram with the body and the next sequence number to dst.
func (d *Datagrams) Seal(dst, body []byte) []byte {
	return SealDatagram(dst, &d.key, d.self, d.boot, d.seq.Add(1), body)
}

// Open checks the tag and the sequence number, and decodes the datagram. It does
// not refuse a sender that is not on the host list, because membership answers
// the probes of such a sender.
func (d *Datagrams) Open(b []byte) (Datagram, error) {
	dg, err := OpenDatagram(b, &d.key)
	if err == nil {
		err = d.filter.Accept(&dg)
	}
	if err != nil {
		CountRefusedDatagram(d.set, err)
	}
	return dg, err
}

// Retain removes the sequence numbers of senders that are not on the host list. It
// is called when the list changes. Datagrams of an unlisted sender can then be
// replayed; membership answers them but does not otherwise use them.
func (d *Datagrams) Retain(listed func(id string) bool) { d.filter.Retain(listed) }

// ReplayFilter refuses datagrams that were received before. It keeps a window of
// 64 sequence numbers for each of the newest two boots of a sender. Datagrams of
// the older boot are accepted so that a replaced process can be told of it.
type ReplayFilter struct {
	mu      sync.Mutex
	senders map[string]*[2]window // newest boot first
}

// NewReplayFilter returns an empty filter.
func NewReplayFilter() *ReplayFilter {
	return &ReplayFilter{senders: make(map[string]*[2]window)}
}

// Accept records the datagram and sets its Replaced, or returns ErrReplayed,
// ErrTooOld or ErrOldBoot.
func (f *ReplayFilter) Accept(d *Datagram) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.senders[d.From]
	if w == nil {
		w = new([2]window)
		f.senders[d.From] = w
	}
	if d.Boot > w[0].boot {
		w[1] = w[0]
		w[0] = window{boot: d.Boot}
	}
	for i := range w {
		if w[i].boot == d.Boot {
			d.Replaced = i > 0
			return w[i].accept(d.Seq)
		}
	}
	return ErrOldBoot
}

// Retain removes the senders that are not listed.
func (f *ReplayFilter) Retain(listed func(id string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.senders {
		if !listed(id) {
			delete(f.senders, id)
		}
	}
}

// window records which of the 64 sequence numbers up to last were received. Bit i
// of seen stands for last-i.
type window struct {
	boot uint64
	last uint64
	seen uint64
}

func (w *window) accept(seq uint64) error {
	if seq > w.last {
		w.seen <<= seq - w.last
		w.seen |= 1
		w.last = seq
		return nil
	}
	age := w.last - seq
	if age >= windowLength {
		return ErrTooOld
	}
	if w.seen&(1<<age) != 0 {
		return ErrReplayed
	}
	w.seen |= 1 << age
	return nil
}
