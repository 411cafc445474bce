package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// TCP flags, as encoded in the header.
const (
	FlagFIN uint8 = 1 << iota
	FlagSYN
	FlagRST
	FlagPSH
	FlagACK
)

// Lengths of headers without options, and offsets of the fields that are
// checked before decoding.
const (
	ipv4HeaderLen = 20
	ipv6HeaderLen = 40
	tcpHeaderLen  = 20
	udpHeaderLen  = 8

	ipv4LengthOffset   = 2
	ipv4FragmentOffset = 6
	ipv4ProtocolOffset = 9
	ipv6LengthOffset   = 4
	ipv6NextOffset     = 6
	tcpDataOffset      = 12
	tcpFlagsOffset     = 13
	udpLengthOffset    = 4

	ipv4FragmentMask = 0x3fff // more fragments, and the fragment offset
	ipv6FragmentNext = 44
)

// Reasons for which a packet is refused.
var (
	ErrTruncated = errors.New("packet is shorter than its headers state")
	ErrVersion   = errors.New("IP version is not 4 or 6, or an IPv6 packet has IPv4-mapped addresses")
	ErrProtocol  = errors.New("protocol is not TCP or UDP")
	ErrFragment  = errors.New("packet is a fragment")
	ErrLength    = errors.New("a length field contradicts the headers")
)

// Info holds the decoded fields of a packet.
type Info struct {
	Key           Key
	TCPFlags      uint8
	Seq, Ack      uint32
	PayloadOffset int // offset of the transport payload in the packet
	PayloadLen    int
	IPv6          bool
	Fragment      bool
}

// SYN reports whether the packet opens a TCP connection.
func (i *Info) SYN() bool {
	return i.Key.Proto == ProtoTCP && i.TCPFlags&(FlagSYN|FlagACK|FlagRST) == FlagSYN
}

// SYNACK reports whether the packet is the SYN-ACK that accepts a TCP connection.
func (i *Info) SYNACK() bool {
	return i.Key.Proto == ProtoTCP && i.TCPFlags&(FlagSYN|FlagACK|FlagRST) == FlagSYN|FlagACK
}

// RST reports whether the packet resets a TCP connection.
func (i *Info) RST() bool {
	return i.Key.Proto == ProtoTCP && i.TCPFlags&FlagRST != 0
}

// Closes reports whether the packet ends a TCP connection, or one direction of it.
func (i *Info) Closes() bool {
	return i.Key.Proto == ProtoTCP && i.TCPFlags&(FlagFIN|FlagRST) != 0 && i.TCPFlags&FlagSYN == 0
}

// End returns the sequence number after the packet's payload.
func (i *Info) End() uint32 { return i.Seq + uint32(i.PayloadLen) }

// Parser decodes packets. It is reused for every packet, so that decoding does not
// allocate memory, and is not safe for concurrent use.
type Parser struct {
	ip4 layers.IPv4
	ip6 layers.IPv6
	tcp layers.TCP
	udp layers.UDP

	segment [tcpHeaderLen]byte // a TCP header without its options
}

// Parse decodes an IPv4 or IPv6 packet with TCP or UDP inside. On an error,
// info is unspecified except for Fragment.
func (p *Parser) Parse(b []byte, info *Info) error {
	*info = Info{}
	if len(b) == 0 {
		return ErrTruncated
	}
	var transport int
	var end int
	var err error
	switch b[0] >> 4 {
	case 4:
		transport, end, err = p.parseIPv4(b, info)
	case 6:
		transport, end, err = p.parseIPv6(b, info)
	default:
		err = ErrVersion
	}
	if err != nil {
		return err
	}
	segment := b[transport:end]
	var header int
	if info.Key.Proto == ProtoTCP {
		header, err = p.parseTCP(segment, info)
	} else {
		header, err = p.parseUDP(segment, info)
	}
	if err != nil {
		return err
	}
	info.PayloadOffset = transport + header
	return nil
}

// parseIPv4 returns the offsets of the transport header and of the end of the
// packet.
func (p *Parser) parseIPv4(b []byte, info *Info) (transport, end int, err error) {
	if len(b) < ipv4HeaderLen {
		return 0, 0, ErrTruncated
	}
	header := int(b[0]&0x0f) * 4
	end = int(binary.BigEndian.Uint16(b[ipv4LengthOffset:]))
	if header < ipv4HeaderLen || end < header {
		return 0, 0, ErrLength
	}
	if end > len(b) {
		return 0, 0, ErrTruncated
	}
	if binary.BigEndian.Uint16(b[ipv4FragmentOffset:])&ipv4FragmentMask != 0 {
		info.Fragment = true
		return 0, 0, ErrFragment
	}
	if !supportedProto(b[ipv4ProtocolOffset]) {
		return 0, 0, ErrProtocol
	}
	if p.ip4.DecodeFromBytes(b[:end], gopacket.NilDecodeFeedback) != nil {
		return 0, 0, ErrLength
	}
	info.Key.Src = netip.AddrFrom4([4]byte(p.ip4.SrcIP)).As16()
	info.Key.Dst = netip.AddrFrom4([4]byte(p.ip4.DstIP)).As16()
	info.Key.Proto = uint8(p.ip4.Protocol)
	return header, end, nil
}

// parseIPv6 refuses extension headers: callers' packets have none except
// fragments, and a jumbogram does not fit into the encapsulating datagram.
func (p *Parser) parseIPv6(b []byte, info *Info) (transport, end int, err error) {
	if len(b) < ipv6HeaderLen {
		return 0, 0, ErrTruncated
	}
	end = ipv6HeaderLen + int(binary.BigEndian.Uint16(b[ipv6LengthOffset:]))
	if end > len(b) {
		return 0, 0, ErrTruncated
	}
	if b[ipv6NextOffset] == ipv6FragmentNext {
		info.Fragment = true
		return 0, 0, ErrFragment
	}
	if !supportedProto(b[ipv6NextOffset]) {
		return 0, 0, ErrProtocol
	}
	if end == ipv6HeaderLen {
		return 0, 0, ErrLength
	}
	if p.ip6.DecodeFromBytes(b[:end], gopacket.NilDecodeFeedback) != nil {
		return 0, 0, ErrLength
	}
	info.IPv6 = true
	info.Key.Src = [16]byte(p.ip6.SrcIP)
	info.Key.Dst = [16]byte(p.ip6.DstIP)
	if isIPv4Mapped(info.Key.Src) || isIPv4Mapped(info.Key.Dst) {
		return 0, 0, ErrVersion
	}
	info.Key.Proto = uint8(p.ip6.NextHeader)
	return ipv6HeaderLen, end, nil
}

// parseTCP passes the header to the decoder without its options, which are not
// needed and whose decoding would allocate memory.
func (p *Parser) parseTCP(segment []byte, info *Info) (header int, err error) {
	if len(segment) < tcpHeaderLen {
		return 0, ErrTruncated
	}
	header = int(segment[tcpDataOffset]>>4) * 4
	if header < tcpHeaderLen || header > len(segment) {
		return 0, ErrLength
	}
	copy(p.segment[:], segment)
	p.segment[tcpDataOffset] = tcpHeaderLen / 4 << 4
	if p.tcp.DecodeFromBytes(p.segment[:], gopacket.NilDecodeFeedback) != nil {
		return 0, ErrLength
	}
	info.Key.SrcPort = uint16(p.tcp.SrcPort)
	info.Key.DstPort = uint16(p.tcp.DstPort)
	info.TCPFlags = segment[tcpFlagsOffset]
	info.Seq, info.Ack = p.tcp.Seq, p.tcp.Ack
	info.PayloadLen = len(segment) - header
	return header, nil
}

func (p *Parser) parseUDP(segment []byte, info *Info) (header int, err error) {
	if len(segment) < udpHeaderLen {
		return 0, ErrTruncated
	}
	length := int(binary.BigEndian.Uint16(segment[udpLengthOffset:]))
	if length < udpHeaderLen || length > len(segment) {
		return 0, ErrLength
	}
	if p.udp.DecodeFromBytes(segment[:length], gopacket.NilDecodeFeedback) != nil {
		return 0, ErrLength
	}
	info.Key.SrcPort = uint16(p.udp.SrcPort)
	info.Key.DstPort = uint16(p.udp.DstPort)
	info.PayloadLen = length - udpHeaderLen
	return udpHeaderLen, nil
}

// isIPv4Mapped reports whether a is an IPv4-mapped address. In an IPv6 packet such
// addresses would yield the same key as an IPv4 packet.
func isIPv4Mapped(a [16]byte) bool { return netip.AddrFrom16(a).Is4In6() }

func supportedProto(proto uint8) bool { return proto == ProtoTCP || proto == ProtoUDP }
