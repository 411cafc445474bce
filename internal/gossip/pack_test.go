package gossip

import (
	"context"
	"fmt"
	"net/netip"
	"reflect"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// manyServers returns the registry updates of n backend servers.
func manyServers(n int) []registry.Update {
	var updates []registry.Update
	for i := range n {
		id := fmt.Sprintf("i-%010x", i*7919)
		updates = append(updates, registry.Update{Key: "item-" + id, Revision: uint64(i + 1), Created: uint64(i + 1), Server: &registry.BackendServer{
			ID: id, Identity: uint64(i*7919 + 1), Service: "booking-desk", DataCentre: "fsd-main", Region: "west", Slots: 2, StartedMs: 1765000000000 + int64(i),
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), 8124),
		}})
	}
	return updates
}

// Guards against updates that are altered by packing, below and above the size from which they are compressed.
func TestPackedUpdates(t *testing.T) {
	for name, updates := range map[string][]registry.Update{
		"none": nil, "one": {change("s1")}, "configuration": {configChange()}, "removal": {{Key: "s", Revision: 3, Removed: true}},
		"many": manyServers(3000), "largest deployment": manyServers(40_000),
	} {
		b, err := pack(updates)
		if err != nil {
			t.Fatal(err)
		}
		got, err := unpack(b)
		if err != nil || len(got) != len(updates) || len(got) > 0 && !reflect.DeepEqual(got, updates) {
			t.Errorf("%s: %d updates became %d, %v", name, len(updates), len(got), err)
		}
	}
}

// Guards against hosts that start together on links of 10 Mbit/s and never receive a full copy, because each takes longer
// than the limit of a transfer: 3,000 entries took 750 KB as JSON.
func TestFullCopiesFitSlowLinks(t *testing.T) {
	const (
		servers        = 3000
		linkPerS       = 10_000_000 / 8 // bytes per second
		base64Overhead = 4.0 / 3
	)
	b, err := pack(manyServers(servers))
	if err != nil {
		t.Fatal(err)
	}
	took := base64Overhead * float64(len(b)) * maxTransfers / linkPerS
	const limit = 1.0 // seconds
	if took > limit {
		t.Errorf("%d copies of %d bytes take %.2f s, want %.2f", maxTransfers, len(b), took, limit)
	}
}

// Guards against malformed packed updates that are accepted, among them truncated ones.
func TestMalformedPackedUpdates(t *testing.T) {
	valid, err := pack(manyServers(1000))
	if err != nil {
		t.Fatal(err)
	}
	for name, b := range map[string][]byte{
		"empty": nil, "unknown packing": {9, 0x80}, "no list": {packedPlain}, "cut": valid[:len(valid)/2], "number": {packedPlain, 7}, "not compressed": {packedDeflate, 1, 2, 3},
	} {
		if got, err := unpack(b); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %d updates, %v; want ErrMalformed", name, len(got), err)
		}
	}
}

// Guards against a host that packs the same copy again for each request, and against one that serves an outdated copy.
func TestFullCopyIsPackedOnce(t *testing.T) {
	p := &packer{}
	packedPart := func(revision uint64, servers int) []byte {
		t.Helper()
		parts, err := p.partsOf(&Copy{Full: true, Revision: revision, Updates: manyServers(servers)})
		if err != nil {
			t.Fatal(err)
		}
		b, err := parts.pack(0)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	first := packedPart(5, 2)
	if again := packedPart(5, 2); &again[0] != &first[0] {
		t.Error("packed twice")
	}
	if got, err := unpack(packedPart(6, 3)); err != nil || len(got) != 3 {
		t.Errorf("%d updates at the next revision, %v; want 3", len(got), err)
	}
}

// Guards against a host that packs all entries of the largest deployment before it sends the first of them.
func TestFirstPartIsPackedAlone(t *testing.T) {
	parts := newParts(manyServers(40_000))
	b, err := parts.pack(0)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := unpack(b); err != nil || len(got) != partUpdates {
		t.Errorf("the first part has %d updates, %v; want %d", len(got), err, partUpdates)
	}
	for n := 1; n < parts.num(); n++ {
		if parts.packed[n] != nil {
			t.Errorf("part %d was packed before it was requested", n)
		}
	}
}

// Guards against a fetch that accepts a malformed copy.
func TestFetchOfMalformedCopy(t *testing.T) {
	l, addr := listen(t)
	go Serve(t.Context(), l, func(context.Context, Query) (*Copy, error) {
		return &Copy{Loaded: true, Revision: 9, Updates: []registry.Update{{Key: "s", Revision: 1, Server: &registry.BackendServer{ID: "s"}}}}, nil
	})
	if c, err := Fetch(t.Context(), addr, Query{}); !errors.Is(err, ErrMalformed) {
		t.Errorf("copy %+v, %v; want ErrMalformed", c, err)
	}
}
