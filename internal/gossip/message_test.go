package gossip

import (
	"math"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

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

// configChange returns an update whose configuration has all fields set.
func configChange() registry.Update {
	return registry.Update{Key: "config", Revision: 9, Created: 1, Config: &registry.Config{
		Version: 4,
		Routes: []registry.Route{{
			Name: "r", Addr: netip.MustParseAddrPort("198.18.0.1:443"), Targets: []registry.Target{{Service: "meter", Weight: 2}}, Regions: []string{"x"},
			Priority: 2, TargetLatency: 400 * time.Millisecond,
		}},
		Services:    []registry.Service{{Name: "meter", ColdPeriod: 2 * time.Second, ColdRate: 1.5}},
		IdleTimeout: 15 * time.Second,
	}}
}

// Guards against message fields that are lost in encoding or decoding.
func TestRoundTrip(t *testing.T) {
	m := &Message{
		From: host(1, "a"), Revision: 9, AgeMs: 120, Leaving: true, Reader: host(3, "b").Addr, ReaderAgeMs: 40, NumKnown: 12, LastContact: []LastContact{{DataCentre: 1 << 31, AgeMs: 700}}, Hosts: []Host{host(2, "b")},
		Loads: []Load{{Place: 1 << 31, Flows: 3}}, After: 8, Changes: []registry.Update{change("s1"), configChange(), {Key: "s2", Revision: 9, Removed: true}},
		Withdraw: true, SecondHand: []LastContact{{DataCentre: 5, AgeMs: 20}}, Demand: []ServiceDemand{{Service: 1 << 31, Running: 4, Waiting: 2}},
		Servers: []ServerLoad{{Token: 1 << 31, Work: 1500, Speed: 160, Samples: 9}},
		Ask:     true, Votes: []HostVote{{Host: 1 << 31, AgeMs: 40, Withdraw: true}},
	}
	b, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(b)
	if err != nil || !reflect.DeepEqual(got, m) {
		t.Fatalf("decoded %+v, %v; want %+v", got, err, m)
	}
}

// Guards against datagrams that are too large to be sent. The changes are omitted, and the receiver fetches them.
func TestLargeMessageOmitsChanges(t *testing.T) {
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

// Guards against messages that put invalid values into the registry or the members.
func TestMalformedMessages(t *testing.T) {
	for name, corrupt := range map[string]func(m *Message){
		"no sender":                  func(m *Message) { m.From = Host{} },
		"sender without data centre": func(m *Message) { m.From.DataCentre = "" },
		"negative age":               func(m *Message) { m.AgeMs = NeverConfirmed - 1 },
		"age that overflows":         func(m *Message) { m.AgeMs = 13e12 },
		"outage that overflows":      func(m *Message) { m.OutageAgeMs = math.MaxInt64 },
		"reader's age overflows":     func(m *Message) { m.ReaderAgeMs = math.MaxInt64 },
		"contact age that overflows": func(m *Message) { m.LastContact = []LastContact{{AgeMs: 13e12}} },
		"reported age overflows":     func(m *Message) { m.SecondHand = []LastContact{{AgeMs: 13e12}} },
		"vote's age overflows":       func(m *Message) { m.Votes = []HostVote{{AgeMs: 13e12}} },
		"too many known hosts":       func(m *Message) { m.NumKnown = maxMembers + 2 },
		"negative contact age":       func(m *Message) { m.LastContact = []LastContact{{AgeMs: -1}} },
		"negative age of a vote":     func(m *Message) { m.Votes = []HostVote{{AgeMs: -1}} },
		"too many votes":             func(m *Message) { m.Votes = make([]HostVote, maxVotes+1) },
		"too many data centres":      func(m *Message) { m.LastContact = make([]LastContact, maxDataCentres+1) },
		"negative known hosts":       func(m *Message) { m.NumKnown = -1 },
		"negative age of reader":     func(m *Message) { m.ReaderAgeMs = -1 },
		"too many hosts":             func(m *Message) { m.Hosts = slices.Repeat([]Host{host(2, "b")}, maxHosts+1) },
		"too many loads":             func(m *Message) { m.Loads = make([]Load, maxLoads+1) },
		"negative load":              func(m *Message) { m.Loads = []Load{{Place: 1, Flows: -1}} },
		"change without key":         func(m *Message) { m.Changes[0].Key = "" },
		"change without revision":    func(m *Message) { m.Changes[0].Revision = 0 },
		"server without identity":    func(m *Message) { m.Changes[0].Server.Identity = 0 },
		"server without address":     func(m *Message) { m.Changes[0].Server.Addr = netip.AddrPort{} },
		"server without slots":       func(m *Message) { m.Changes[0].Server.Slots = 0 },
		"server without a service":   func(m *Message) { m.Changes[0].Server.Service = "" },
		"server with -4 slots":       func(m *Message) { m.Changes[0].Server.Slots = -4 },
		"unreadable, no identity":    func(m *Message) { m.Changes[0].Unreadable, m.Changes[0].Server = true, nil },
		"unreadable, other identity": func(m *Message) { m.Changes[0].Unreadable, m.Changes[0].Identity = true, 1<<50 },
	} {
		m := &Message{From: host(1, "a"), Revision: 9, After: 8, Changes: []registry.Update{change("s1")}}
		if _, err := Decode(encode(t, m)); err != nil {
			t.Fatalf("valid message: %v", err)
		}
		corrupt(m)
		if got, err := Decode(encode(t, m)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %+v, %v; want ErrMalformed", name, got, err)
		}
	}
}

// Guards against datagrams of other format versions, among them the earlier JSON format, and against truncated ones.
func TestInvalidDatagrams(t *testing.T) {
	valid := encode(t, &Message{From: host(1, "a"), Revision: 9, Hosts: []Host{host(2, "b")}})
	other := append([]byte{formatVersion + 1}, valid[1:]...)
	datagrams := [][]byte{nil, {formatVersion}, other, []byte(`{"from":{"addr":"10.0.0.1:1","dc":"a"},"rev":1}`), append(valid[:len(valid):len(valid)], 0)}
	for n := range valid {
		datagrams = append(datagrams, valid[:n])
	}
	for _, b := range datagrams {
		if m, err := Decode(b); !errors.Is(err, ErrMalformed) {
			t.Errorf("%x: %+v, %v; want ErrMalformed", b, m, err)
		}
	}
}

// Guards against memory allocated for an array whose declared length is more than a datagram can hold.
func TestDeclaredLengthIsBounded(t *testing.T) {
	b := encode(t, &Message{From: host(1, "a")})
	huge := append(b[:len(b)-1:len(b)-1], 0x9b, 0, 0, 0, 1, 0, 0, 0, 0) // a list of 2^32 changes
	if _, err := Decode(huge); !errors.Is(err, ErrMalformed) {
		t.Errorf("%v, want ErrMalformed", err)
	}
}

func encode(t *testing.T, m *Message) []byte {
	t.Helper()
	b, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against datagrams that crash the process or exceed the limits of a message.
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

// Guards against reports about backend servers that take more bytes than hosts plan for: 13 each.
func TestServerLoadSize(t *testing.T) {
	const reports, bytesEach = 10, 13
	m := &Message{From: host(1, "a"), Servers: []ServerLoad{}}
	before := len(encode(t, m))
	for range reports {
		m.Servers = append(m.Servers, ServerLoad{Token: 1<<32 - 1, Work: 1<<16 - 1, Speed: 255, Samples: 23})
	}
	if n := len(encode(t, m)) - before; n > reports*bytesEach {
		t.Errorf("%d reports take %d bytes, want at most %d", reports, n, reports*bytesEach)
	}
}
