package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/dchest/siphash"
)

// Kind states what the receiver of a forwarded packet has to do.
type Kind uint8

// Kinds of forwarded packets.
const (
	KindLookup   Kind = iota + 1 // find the flow's entry, or admit the flow
	KindPropose                  // store the choice unless the flow has an entry
	KindAnswer                   // the choice of the flow's owners, or no choice
	KindRefresh                  // store the choice of an established flow
	KindConflict                 // replace the receiver's proposed choice, which ranks lower
	KindCommand                  // a command, for its primary owner
	KindReset                    // check a reset from a backend server against the owner's entry
	kindEnd
)

// ChoiceFlags state how a choice was made. A choice without flags is settled.
type ChoiceFlags uint8

// Flags of a choice.
const (
	FlagTentative ChoiceFlags = 1 << iota
	FlagProven
	// FlagSecondary addresses the receiver as the secondary owner of the bucket,
	// which answers and does not forward to another owner.
	FlagSecondary
	// FlagClosing states that a FIN or reset of the flow was forwarded.
	FlagClosing
	// FlagCached states that a refreshed choice comes from a cache entry that the
	// owners have not confirmed for a long time. Any entry of an owner takes
	// precedence over it.
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

// ForwardHeader precedes the inner packet in datagrams between entry hosts. The
// version is the first byte, because it distinguishes forwarded packets from probe
// datagrams on the same port. The tag follows, so that the bytes that it covers are
// contiguous.
type ForwardHeader struct {
	Kind   Kind
	Hops   uint8          // remaining number of times the packet may be forwarded
	Origin netip.AddrPort // peer address of the host at which the packet arrived
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

	// ForwardHeaderLen is the length of the header in bytes.
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

// putTag computes the tag of a forwarded packet and writes it into the header.
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

// tag returns the authentication tag of the bytes after the tag. The version needs
// no authentication, because a packet with another version is refused.
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
