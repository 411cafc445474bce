package packet

import (
	"net/netip"
	"testing"
)

// Guards against different hashes of equal keys, with which entry hosts would
// disagree on the owners of a flow, and against accessors that lose part of a key.
func TestKeyHashIsStable(t *testing.T) {
	k := NewKey(netip.MustParseAddrPort("192.0.2.1:4000"), netip.MustParseAddrPort("198.51.100.10:7001"), ProtoTCP)
	if got, want := k.Hash(), NewKey(k.Source(), k.Destination(), ProtoTCP).Hash(); got != want {
		t.Fatalf("hash %x, want %x", got, want)
	}
	if k.Reverse().Reverse() != k {
		t.Fatal("reversing twice changed the key")
	}
}
