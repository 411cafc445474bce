package gossip

import (
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

func host(n byte, dataCentre string) Host {
	return Host{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000), DataCentre: dataCentre}
}

func change(key string) registry.Update {
	return registry.Update{Key: key, Revision: 9, Server: &registry.BackendServer{
		ID: key, Identity: 4, Service: "meter", Addr: netip.MustParseAddrPort("10.1.0.1:80"), DataCentre: "a", Slots: 2,
	}}
}

// Guards against fields that are lost on the way.
func TestRoundTrip(t *testing.T) {
	m := &Message{From: host(1, "a"), Revision: 9, AgeMs: 120, Hosts: []Host{host(2, "b")}, After: 8, Changes: []registry.Update{change("s1")}}
	b, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(b)
	if err != nil || !reflect.DeepEqual(got, m) {
		t.Fatalf("decoded %+v, %v; want %+v", got, err, m)
	}
}

// Guards against datagrams that are too large to be sent: the receiver then fetches the changes.
func TestLargeMessageLeavesChangesOut(t *testing.T) {
	m := &Message{From: host(1, "a"), Revision: 9, After: 8}
	for range 200 {
		m.Changes = append(m.Changes, change(strings.Repeat("k", 100)))
	}
	b, err := Encode(m)
	if err != nil || len(b) > MaxDatagram {
		t.Fatalf("%d bytes, %v", len(b), err)
	}
	if got, err := Decode(b); err != nil || got.Revision != 9 || len(got.Changes) != 0 {
		t.Fatalf("decoded %+v, %v", got, err)
	}
}

// Guards against messages that put impossible values into the registry.
func TestMalformedMessages(t *testing.T) {
	for _, text := range []string{
		"", "{}", "[]", "null", `{"from":{"addr":"10.0.0.1:1"}}`, `{"from":{"addr":"x","dc":"a"}}`,
		`{"from":{"addr":"10.0.0.1:1","dc":"a"},"changes":[{"key":"","rev":1}]}`,
		`{"from":{"addr":"10.0.0.1:1","dc":"a"},"changes":[{"key":"s","revision":2,"server":{"id":"s"}}]}`,
		`{"from":{"addr":"10.0.0.1:1","dc":"a"},"rev":-1}`,
	} {
		if m, err := Decode([]byte(text)); err == nil || !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: %+v, %v; want ErrMalformed", text, m, err)
		}
	}
}

// Guards against a datagram that stops the process.
func FuzzDecode(f *testing.F) {
	b, err := Encode(&Message{From: host(1, "a"), Revision: 9, Changes: []registry.Update{change("s1")}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		if !m.From.Addr.IsValid() || len(m.Hosts) > maxHosts {
			t.Fatalf("accepted %+v", m)
		}
	})
}
