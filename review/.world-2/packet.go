package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Layout of a packet, as PROTOCOL.md shows it.
const (
	headLen = 34

	flagACK = 4
	flagSYN = 8
	flagFIN = 32
	flagRST = 128
)

// sumKey is the key of the sum. Only callers and backend servers know it.
const sumKey = "review-2"

type packet struct {
	echo     uint32
	flags    byte
	seq, ack uint32
	src, dst netip.AddrPort
	data     []byte
	sum      uint32 // of a received packet
	sumOK    bool
}

func putAddr(b []byte, ip, port int, a netip.AddrPort) {
	v := a.Addr().As4()
	binary.LittleEndian.PutUint32(b[ip:], binary.BigEndian.Uint32(v[:]))
	binary.LittleEndian.PutUint16(b[port:], a.Port())
}

func getAddr(b []byte, ip, port int) netip.AddrPort {
	v := binary.LittleEndian.Uint32(b[ip:])
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)}), binary.LittleEndian.Uint16(b[port:]))
}

// sumOf returns the keyed sum over all fields except echo, pad, and the sum itself.
func sumOf(b []byte) uint32 {
	h := fnv.New32a()
	h.Write([]byte(sumKey))
	h.Write(b[0:2])
	h.Write([]byte{b[6] &^ 64})
	h.Write(b[10:18])
	h.Write(b[22:])
	return h.Sum32()
}

func (p *packet) encode() []byte {
	b := make([]byte, headLen, headLen+len(p.data))
	binary.LittleEndian.PutUint16(b[0:], uint16(len(p.data)))
	binary.LittleEndian.PutUint32(b[2:], p.echo)
	b[6] = p.flags
	binary.LittleEndian.PutUint32(b[10:], p.seq)
	binary.LittleEndian.PutUint32(b[14:], p.ack)
	putAddr(b, 24, 22, p.dst)
	putAddr(b, 30, 28, p.src)
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[18:], sumOf(b))
	return b
}

func decode(b []byte) (p packet, ok bool) {
	if len(b) < headLen || int(binary.LittleEndian.Uint16(b)) != len(b)-headLen {
		return p, false
	}
	p = packet{
		echo: binary.LittleEndian.Uint32(b[2:]), flags: b[6], seq: binary.LittleEndian.Uint32(b[10:]), ack: binary.LittleEndian.Uint32(b[14:]),
		dst: getAddr(b, 24, 22), src: getAddr(b, 30, 28), sum: binary.LittleEndian.Uint32(b[18:]),
		data: append([]byte(nil), b[headLen:]...),
	}
	p.sumOK = p.sum == sumOf(b)
	return p, true
}
