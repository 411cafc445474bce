package packet

import (
	"encoding/binary"
	"net/netip"
)

const (
	ttl               = 64
	tcpChecksumOffset = 16
	udpChecksumOffset = 6
	ipv4DontFragment  = 0x4000
)

// AppendReset appends a TCP reset to the sender of original, with the sequence
// numbers that RFC 9293 section 3.10.7.1 requires.
func AppendReset(dst []byte, original []byte) ([]byte, error) {
	var p Parser
	var info Info
	if err := p.Parse(original, &info); err != nil {
		return dst, err
	}
	if info.Key.Proto != ProtoTCP || info.RST() {
		return dst, ErrProtocol
	}
	k := info.Key.Reverse()
	if info.TCPFlags&FlagACK != 0 {
		return AppendTCP(dst, k, FlagRST, info.Ack, 0, nil), nil
	}
	ack := info.Seq + uint32(info.PayloadLen)
	if info.TCPFlags&FlagSYN != 0 {
		ack++
	}
	if info.TCPFlags&FlagFIN != 0 {
		ack++
	}
	return AppendTCP(dst, k, FlagRST|FlagACK, 0, ack, nil), nil
}

// AppendUDP appends an IP packet with a UDP datagram of flow k. The payload
// must fit into one packet.
func AppendUDP(dst []byte, k Key, payload []byte) []byte {
	k.Proto = ProtoUDP
	dst, transport := appendIP(dst, k, udpHeaderLen+len(payload))
	dst = binary.BigEndian.AppendUint16(dst, k.SrcPort)
	dst = binary.BigEndian.AppendUint16(dst, k.DstPort)
	dst = binary.BigEndian.AppendUint16(dst, uint16(udpHeaderLen+len(payload)))
	dst = append(dst, 0, 0)
	dst = append(dst, payload...)
	sum := transportChecksum(k, dst[transport:])
	if sum == 0 {
		sum = 0xffff // zero on the wire means that there is no checksum
	}
	binary.BigEndian.PutUint16(dst[transport+udpChecksumOffset:], sum)
	return dst
}

// AppendTCP appends an IP packet with a TCP segment of flow k without options.
func AppendTCP(dst []byte, k Key, flags uint8, seq, ack uint32, payload []byte) []byte {
	const window = 0xffff
	k.Proto = ProtoTCP
	dst, transport := appendIP(dst, k, tcpHeaderLen+len(payload))
	dst = binary.BigEndian.AppendUint16(dst, k.SrcPort)
	dst = binary.BigEndian.AppendUint16(dst, k.DstPort)
	dst = binary.BigEndian.AppendUint32(dst, seq)
	dst = binary.BigEndian.AppendUint32(dst, ack)
	dst = append(dst, tcpHeaderLen/4<<4, flags)
	dst = binary.BigEndian.AppendUint16(dst, window)
	dst = append(dst, 0, 0, 0, 0)
	dst = append(dst, payload...)
	binary.BigEndian.PutUint16(dst[transport+tcpChecksumOffset:], transportChecksum(k, dst[transport:]))
	return dst
}

// appendIP appends the IP header for a payload of length bytes and returns the
// offset of the transport header.
func appendIP(dst []byte, k Key, length int) ([]byte, int) {
	src, to := netip.AddrFrom16(k.Src), netip.AddrFrom16(k.Dst)
	if !src.Is4In6() || !to.Is4In6() {
		dst = append(dst, 6<<4, 0, 0, 0)
		dst = binary.BigEndian.AppendUint16(dst, uint16(length))
		dst = append(dst, k.Proto, ttl)
		dst = append(dst, k.Src[:]...)
		dst = append(dst, k.Dst[:]...)
		return dst, len(dst)
	}
	start := len(dst)
	dst = append(dst, 4<<4|ipv4HeaderLen/4, 0)
	dst = binary.BigEndian.AppendUint16(dst, uint16(ipv4HeaderLen+length))
	dst = append(dst, 0, 0)
	dst = binary.BigEndian.AppendUint16(dst, ipv4DontFragment)
	dst = append(dst, ttl, k.Proto, 0, 0)
	dst = append(dst, k.Src[12:]...)
	dst = append(dst, k.Dst[12:]...)
	binary.BigEndian.PutUint16(dst[start+10:], fold(sum(0, dst[start:])))
	return dst, len(dst)
}

// transportChecksum returns the checksum of the pseudo header and the segment. Of
// IPv4-mapped addresses it covers only the last four bytes: the leading zeros would
// not change the sum, but the 0xffff before the IPv4 address would.
func transportChecksum(k Key, segment []byte) uint16 {
	src, dst := k.Src[:], k.Dst[:]
	if netip.AddrFrom16(k.Src).Is4In6() && netip.AddrFrom16(k.Dst).Is4In6() {
		src, dst = src[12:], dst[12:]
	}
	s := sum(sum(0, src), dst)
	s += uint32(k.Proto) + uint32(len(segment))
	return fold(sum(s, segment))
}

// sum adds b to a ones' complement sum of 16-bit words.
func sum(s uint32, b []byte) uint32 {
	for len(b) >= 2 {
		s += uint32(b[0])<<8 | uint32(b[1])
		b = b[2:]
	}
	if len(b) == 1 {
		s += uint32(b[0]) << 8
	}
	return s
}

// fold reduces a sum to 16 bits and returns its ones' complement.
func fold(s uint32) uint16 {
	for s>>16 != 0 {
		s = s&0xffff + s>>16
	}
	return ^uint16(s)
}
