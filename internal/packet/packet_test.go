package packet

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

var (
	key4 = NewKey(netip.MustParseAddrPort("192.0.2.1:4000"), netip.MustParseAddrPort("198.51.100.10:7001"), ProtoTCP)
	key6 = NewKey(netip.MustParseAddrPort("[2001:db8::1]:4000"), netip.MustParseAddrPort("[2001:db8::2]:7001"), ProtoTCP)
)

// changed returns a copy of b with one byte replaced.
func changed(b []byte, i int, v byte) []byte {
	c := bytes.Clone(b)
	c[i] = v
	return c
}

// Guards against accepting packets with a wrong length, version, protocol or
// fragment field, which would lead to reads past the end of the packet or split a
// flow between backend servers.
func TestParseRefuses(t *testing.T) {
	tcp4 := AppendTCP(nil, key4, FlagSYN, 1, 2, []byte("abc"))
	tcp6 := AppendTCP(nil, key6, FlagSYN, 1, 2, []byte("abc"))
	udp4 := AppendUDP(nil, key4, []byte("abc"))
	mappedSource := bytes.Clone(tcp6)
	copy(mappedSource[8:], key4.Src[:])
	for _, c := range []struct {
		name string
		raw  []byte
		want error
	}{
		{"empty", nil, ErrTruncated},
		{"version 5", changed(tcp4, 0, 0x55), ErrVersion},
		{"IPv4 header cut", tcp4[:19], ErrTruncated},
		{"IPv4 header length 4", changed(tcp4, 0, 0x44), ErrLength},
		{"IPv4 header longer than packet", changed(tcp4, 0, 0x4f), ErrLength},
		{"IPv4 payload cut", tcp4[:len(tcp4)-1], ErrTruncated},
		{"IPv4 total length 0", changed(changed(tcp4, 2, 0), 3, 0), ErrLength},
		{"IPv4 first fragment", changed(tcp4, 6, 0x20), ErrFragment},
		{"IPv4 later fragment", changed(tcp4, 7, 1), ErrFragment},
		{"IPv4 ICMP", changed(tcp4, 9, 1), ErrProtocol},
		{"IPv6 header cut", tcp6[:39], ErrTruncated},
		{"IPv6 payload cut", tcp6[:len(tcp6)-1], ErrTruncated},
		{"IPv6 jumbogram", changed(changed(tcp6, 4, 0), 5, 0), ErrLength},
		{"IPv6 fragment header", changed(tcp6, 6, 44), ErrFragment},
		{"IPv6 hop-by-hop header", changed(tcp6, 6, 0), ErrProtocol},
		{"IPv6 with IPv4-mapped source", mappedSource, ErrVersion},
		{"TCP header cut", changed(tcp4, 3, 39), ErrTruncated},
		{"TCP data offset 4", changed(tcp4, 32, 0x40), ErrLength},
		{"TCP data offset past the end", changed(tcp4, 32, 0xf0), ErrLength},
		{"UDP header cut", changed(udp4, 3, 27), ErrTruncated},
		{"UDP length 7", changed(udp4, 25, 7), ErrLength},
		{"UDP length past the end", changed(udp4, 25, 12), ErrLength},
	} {
		var p Parser
		var info Info
		err := p.Parse(c.raw, &info)
		if !errors.Is(err, c.want) || info.Fragment != (c.want == ErrFragment) {
			t.Errorf("%s: error %v, fragment %v, want %v", c.name, err, info.Fragment, c.want)
		}
	}
}

// verify decodes a built packet and verifies its checksums.
func verify(t *testing.T, raw []byte) Info {
	t.Helper()
	var p Parser
	var info Info
	if err := p.Parse(raw, &info); err != nil {
		t.Fatal(err)
	}
	first := gopacket.Decoder(layers.LayerTypeIPv4)
	if info.IPv6 {
		first = layers.LayerTypeIPv6
	}
	decoded := gopacket.NewPacket(raw, first, gopacket.Default)
	transport := decoded.TransportLayer().(interface {
		SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
	})
	if err := transport.SetNetworkLayerForChecksum(decoded.NetworkLayer()); err != nil {
		t.Fatal(err)
	}
	err, mismatches := decoded.VerifyChecksums()
	if err != nil || len(mismatches) > 0 {
		t.Fatalf("checksums: %v, %v", err, mismatches)
	}
	return info
}

// Guards against built packets with wrong checksums or keys, and against resets
// that the caller ignores because of wrong sequence numbers (RFC 9293).
func TestBuiltPackets(t *testing.T) {
	for _, k := range []Key{key4, key6} {
		for _, payload := range []string{"", "a", "ab", "\xff\xff\xff"} {
			info := verify(t, AppendTCP([]byte("x"), k, FlagPSH|FlagACK, 7, 9, []byte(payload))[1:])
			if info.Key != k || info.Seq != 7 || info.Ack != 9 || info.TCPFlags != FlagPSH|FlagACK || info.PayloadLen != len(payload) {
				t.Fatalf("TCP: %+v", info)
			}
			raw := AppendUDP(nil, k, []byte(payload))
			info = verify(t, raw)
			if string(raw[info.PayloadOffset:][:info.PayloadLen]) != payload || info.Key.Proto != ProtoUDP {
				t.Fatalf("UDP: %+v", info)
			}
		}
		for _, c := range []struct {
			flags, want uint8
			seq, ack    uint32
		}{
			{FlagACK, FlagRST, 9, 0},
			{FlagSYN, FlagRST | FlagACK, 0, 7 + 2 + 1},
			{FlagFIN, FlagRST | FlagACK, 0, 7 + 2 + 1},
			{0, FlagRST | FlagACK, 0, 7 + 2},
		} {
			raw, err := AppendReset(nil, AppendTCP(nil, k, c.flags, 7, 9, []byte("ab")))
			if err != nil {
				t.Fatal(err)
			}
			info := verify(t, raw)
			if info.Key != k.Reverse() || info.TCPFlags != c.want || info.Seq != c.seq || info.Ack != c.ack {
				t.Fatalf("reset of flags %x: %+v", c.flags, info)
			}
		}
		for _, raw := range [][]byte{AppendTCP(nil, k, FlagRST, 1, 1, nil), AppendUDP(nil, k, nil)} {
			if _, err := AppendReset(nil, raw); !errors.Is(err, ErrProtocol) {
				t.Fatalf("a reset answers a packet that must not be answered: %v", err)
			}
		}
	}
}

// Guards against memory allocation when a TCP header with options is parsed.
func TestParseDoesNotAllocate(t *testing.T) {
	options := []byte{2, 4, 5, 180, 4, 2, 8, 10, 1, 2, 3, 4, 5, 6, 7, 8, 1, 3, 3, 7, 30, 4, 0, 0}
	raw := AppendTCP(nil, key4, FlagSYN, 1, 2, options)
	raw[32] = byte(5+len(options)/4) << 4
	var p Parser
	var info Info
	if n := testing.AllocsPerRun(100, func() { _ = p.Parse(raw, &info) }); n != 0 || info.PayloadLen != 0 {
		t.Fatalf("%v allocations, payload %d", n, info.PayloadLen)
	}
}

var (
	forwardKey    = [16]byte{1, 2, 3}
	forwardHeader = ForwardHeader{
		Kind: KindPropose, Hops: 3,
		Origin: netip.MustParseAddrPort("127.0.0.1:6081"),
		Sender: netip.MustParseAddrPort("[2001:db8::5]:6081"),
		Choice: Choice{Addr: netip.MustParseAddrPort("127.0.10.1:6080"), Instance: 5, Flags: FlagTentative | FlagSecondary, Conn: 7, Age: 8},
	}
)

// Guards against a header that starts with the tag: one in 256 forwarded packets
// would then be taken for a probe datagram and lost.
func TestForwardStartsWithItsVersion(t *testing.T) {
	for i := range 1000 {
		b := AppendForward(nil, &forwardKey, &forwardHeader, []byte{byte(i), byte(i >> 8)})
		if b[0] != ForwardVersion {
			t.Fatalf("packet %d starts with %#x", i, b[0])
		}
	}
}

// Guards against accepting forged, altered or invalid forwarded packets.
func TestForward(t *testing.T) {
	inner := []byte("inner")
	good := AppendForward(nil, &forwardKey, &forwardHeader, inner)
	var got ForwardHeader
	if b, err := ParseForward(good, &forwardKey, &got); err != nil || got != forwardHeader || !bytes.Equal(b, inner) {
		t.Fatalf("%+v %q %v", got, b, err)
	}
	for i := range good {
		want := ErrTag
		if i == versionOffset {
			want = ErrForwardVersion // refused before the tag is computed
		}
		if _, err := ParseForward(changed(good, i, good[i]^1), &forwardKey, &got); !errors.Is(err, want) {
			t.Fatalf("byte %d altered: %v", i, err)
		}
	}
	retagged := func(change func(b []byte)) []byte {
		b := bytes.Clone(good)
		change(b)
		s := AppendForward(nil, &forwardKey, &forwardHeader, inner)
		copy(s, b)
		putTag(&forwardKey, s)
		return s
	}
	for _, c := range []struct {
		name string
		raw  []byte
		key  [16]byte
		want error
	}{
		{"other key", good, [16]byte{9}, ErrTag},
		{"no inner packet", good[:ForwardHeaderLen], forwardKey, ErrTruncated},
		{"inner packet cut", good[:len(good)-1], forwardKey, ErrTag},
		{"version", retagged(func(b []byte) { b[versionOffset]++ }), forwardKey, ErrForwardVersion},
		{"kind 0", retagged(func(b []byte) { b[kindOffset] = 0 }), forwardKey, ErrKind},
		{"kind beyond the last", retagged(func(b []byte) { b[kindOffset] = byte(kindEnd) }), forwardKey, ErrKind},
		{"unknown flag", retagged(func(b []byte) { b[flagsOffset] = 0x80 }), forwardKey, ErrKind},
		{"hop limit", retagged(func(b []byte) { b[hopsOffset] = 0 }), forwardKey, ErrHops},
	} {
		if _, err := ParseForward(c.raw, &c.key, &got); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}

// FuzzParse guards against packets that panic the parser or yield a payload outside
// the packet, and against resets that cannot be parsed.
func FuzzParse(f *testing.F) {
	f.Add(AppendTCP(nil, key4, FlagSYN, 1, 2, []byte("abc")))
	f.Add(AppendUDP(nil, key6, []byte("abc")))
	f.Fuzz(func(t *testing.T, b []byte) {
		var p Parser
		var info Info
		if p.Parse(b, &info) != nil {
			return
		}
		if info.PayloadOffset+info.PayloadLen > len(b) || info.Fragment {
			t.Fatalf("%+v of %d bytes", info, len(b))
		}
		if r, err := AppendReset(nil, b); err == nil && p.Parse(r, &info) != nil {
			t.Fatal("the reset cannot be parsed")
		}
	})
}

// FuzzParseForward guards against forwarded packets that panic the parser or change
// when they are encoded again. It writes a valid tag into the input, which would
// otherwise be refused before it is decoded.
func FuzzParseForward(f *testing.F) {
	f.Add(AppendForward(nil, &forwardKey, &forwardHeader, []byte("inner")))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) >= kindOffset {
			putTag(&forwardKey, b)
		}
		var h, again ForwardHeader
		inner, err := ParseForward(b, &forwardKey, &h)
		if err != nil {
			return
		}
		if _, err := ParseForward(AppendForward(nil, &forwardKey, &h, inner), &forwardKey, &again); err != nil || h != again {
			t.Fatalf("%+v became %+v: %v", h, again, err)
		}
	})
}
