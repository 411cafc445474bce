package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/dchest/siphash"
)

// Kind says what the receiver of a forwarded packet is asked to do.
type Kind uint8

// Kinds of forwarded packets.
const (
	KindLookup   Kind = iota + 1 // find the flow's entry, or admit the flow
	KindPropose                  // store the choice unless an entry exists
	KindAnswer                   // the choice of the owners, or none
	KindRefresh                  // store the choice of an established flow
	KindConflict                 // replaces the receiver's weaker proposal
	KindCommand                  // a command for the primary owner
	KindReset                    // a reset from a backend server, to be checked against the owner's entry
	kindEnd
)

// ChoiceFlags state how a choice was made. No flag means settled.
type ChoiceFlags uint8

// Flags of a choice.
const (
	FlagTentative ChoiceFlags = 1 << iota
	FlagProven
	// FlagSecondary asks the receiver as the bucket's secondary owner, who
	// answers and forwards to no other owner.
	FlagSecondary
	// FlagClosing states that a FIN or reset of the flow passed.
	FlagClosing
	// FlagCached states that a refreshed choice comes from a cache that the
	// owners have not confirmed for long: it yields to any entry of theirs.
	FlagCached

	flagsAll = FlagTentative | FlagProven | FlagSecondary | FlagClosing | FlagCached
)

// Choice is the backend server of a flow. Addr is the zero value when there is
// no choice.
type Choice struct {
	Addr     netip.AddrPort
	Instance uint64
	Flags    ChoiceFlags
	Conn     uint32 // initial sequence number of the caller's connection, 0 when unknown
	Age      uint32 // milliseconds since the connection was admitted
}

// ForwardHeader stands before the inner packet between entry hosts. The version
// comes first, because probe datagrams arrive on the same port and are told
// apart by it. The tag follows, so that it covers one contiguous range.
type ForwardHeader struct {
	Kind   Kind
	Hops   uint8          // how many more times the packet may be forwarded
	Origin netip.AddrPort // peer address of the arrival host
	Sender netip.AddrPort // peer address of the host that forwarded the packet last
	Choice Choice
}

// ForwardVersion is the first byte of a forwarded packet.
const ForwardVersion = 0x03

const (
	addrPortLen = 16 + 2
	tagLen      = 8

	versionOffset  = 0
	tagOffset      = versionOffset + 1
	kindOffset     = tagOffset + tagLen
	hopsOffset     = kindOffset + 1
	flagsOffset    = hopsOffset + 1
	originOffset   = flagsOffset + 1
	senderOffset   = originOffset + addrPortLen
	choiceOffset   = senderOffset + addrPortLen
	instanceOffset = choiceOffset + addrPortLen

	connOffset = instanceOffset + 8
	ageOffset  = connOffset + 4

	// ForwardHeaderLen is the number of bytes before the inner packet.
	ForwardHeaderLen = ageOffset + 4
)

// Reasons for which a forwarded packet is refused, besides ErrTruncated.
var (
	ErrTag            = errors.New("authentication tag does not match")
	ErrForwardVersion = errors.New("unknown version of the forwarding header")
	ErrKind           = errors.New("unknown kind or flags in the forwarding header")
	ErrHops           = errors.New("hop limit exhausted")
)

// AppendForward appends the header, its authentication tag and the inner packet.
func AppendForward(dst []byte, key *[16]byte, h *ForwardHeader, inner []byte) []byte {
	start := len(dst)
	dst = append(dst, ForwardVersion, 0, 0, 0, 0, 0, 0, 0, 0)
	dst = append(dst, uint8(h.Kind), h.Hops, uint8(h.Choice.Flags))
	dst = appendAddrPort(dst, h.Origin)
	dst = appendAddrPort(dst, h.Sender)
	dst = appendAddrPort(dst, h.Choice.Addr)
	dst = binary.BigEndian.AppendUint64(dst, h.Choice.Instance)
	dst = binary.BigEndian.AppendUint32(dst, h.Choice.Conn)
	dst = binary.BigEndian.AppendUint32(dst, h.Choice.Age)
	dst = append(dst, inner...)
	putTag(key, dst[start:])
	return dst
}

// putTag authenticates a forwarded packet.
func putTag(key *[16]byte, b []byte) {
	binary.BigEndian.PutUint64(b[tagOffset:], tag(key, b))
}

// ParseForward checks the tag and decodes the header. The inner packet is a
// part of b.
func ParseForward(b []byte, key *[16]byte, h *ForwardHeader) (inner []byte, err error) {
	if len(b) <= ForwardHeaderLen {
		return nil, ErrTruncated
	}
	if b[versionOffset] != ForwardVersion {
		return nil, ErrForwardVersion
	}
	if binary.BigEndian.Uint64(b[tagOffset:]) != tag(key, b) {
		return nil, ErrTag
	}
	h.Kind = Kind(b[kindOffset])
	h.Hops = b[hopsOffset]
	h.Choice.Flags = ChoiceFlags(b[flagsOffset])
	if h.Kind == 0 || h.Kind >= kindEnd || h.Choice.Flags&^flagsAll != 0 {
		return nil, ErrKind
	}
	if h.Hops == 0 {
		return nil, ErrHops
	}
	h.Origin = addrPort(b[originOffset:])
	h.Sender = addrPort(b[senderOffset:])
	h.Choice.Addr = addrPort(b[choiceOffset:])
	h.Choice.Instance = binary.BigEndian.Uint64(b[instanceOffset:])
	h.Choice.Conn = binary.BigEndian.Uint32(b[connOffset:])
	h.Choice.Age = binary.BigEndian.Uint32(b[ageOffset:])
	return b[ForwardHeaderLen:], nil
}

// tag covers everything after the tag itself. The version is not covered: a
// packet with another version is refused.
func tag(key *[16]byte, b []byte) uint64 {
	k0 := binary.LittleEndian.Uint64(key[:8])
	k1 := binary.LittleEndian.Uint64(key[8:])
	return siphash.Hash(k0, k1, b[kindOffset:])
}

// appendAddrPort writes the zero AddrPort as zero bytes.
func appendAddrPort(dst []byte, a netip.AddrPort) []byte {
	var b [addrPortLen]byte
	if a.Addr().IsValid() {
		ip := a.Addr().As16()
		copy(b[:], ip[:])
		binary.BigEndian.PutUint16(b[16:], a.Port())
	}
	return append(dst, b[:]...)
}

func addrPort(b []byte) netip.AddrPort {
	ip := netip.AddrFrom16([16]byte(b[:16]))
	port := binary.BigEndian.Uint16(b[16:])
	if ip.IsUnspecified() && port == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(ip.Unmap(), port)
}
