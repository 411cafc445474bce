package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// IP protocol numbers of the inner packets that nutmeglatch balances.
const (
	ProtoTCP = 6
	ProtoUDP = 17
)

// keyLen is the length in bytes of the encoded Key that is hashed.
const keyLen = 16 + 16 + 2 + 2 + 1

// Key identifies a flow by the addresses, ports and protocol of the inner
// packet. IPv4 addresses are IPv4-mapped. It holds no pointers, so that the
// garbage collector does not scan flow tables.
type Key struct {
	Src, Dst         [16]byte
	SrcPort, DstPort uint16
	Proto            uint8
}

// NewKey returns the key of packets from src to dst.
func NewKey(src, dst netip.AddrPort, proto uint8) Key {
	return Key{
		Src:     src.Addr().As16(),
		Dst:     dst.Addr().As16(),
		SrcPort: src.Port(),
		DstPort: dst.Port(),
		Proto:   proto,
	}
}

// Source returns the source address and port, IPv4 addresses unmapped.
func (k Key) Source() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Src).Unmap(), k.SrcPort)
}

// Destination returns the destination address and port, IPv4 addresses unmapped.
func (k Key) Destination() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Dst).Unmap(), k.DstPort)
}

// Reverse returns the key of the packets in the other direction.
func (k Key) Reverse() Key {
	return Key{Src: k.Dst, Dst: k.Src, SrcPort: k.DstPort, DstPort: k.SrcPort, Proto: k.Proto}
}

// Hash returns a hash that is the same on every entry host, because buckets and
// owners are derived from it.
func (k Key) Hash() uint64 {
	var b [keyLen]byte
	copy(b[0:16], k.Src[:])
	copy(b[16:32], k.Dst[:])
	binary.BigEndian.PutUint16(b[32:], k.SrcPort)
	binary.BigEndian.PutUint16(b[34:], k.DstPort)
	b[36] = k.Proto
	return xxhash.Sum64(b[:])
}
