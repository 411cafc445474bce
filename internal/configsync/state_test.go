package configsync

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/nutmeglatch/nutmeglatch/internal/document"
)

var now = time.Unix(1_000_000, 0)

// service returns a service document with one backend server per address.
func service(name string, version int, addresses ...string) []byte {
	var b strings.Builder
	hash := partOf(name)
	fmt.Fprintf(&b, "service: %s\nversion: %d\nteam: t\naddress: 198.51.%d.10\nport: 7001\nprotocol: tcp\nregion: r\nflow_idle: 10m\ndata_centres:\n  - name: a\n    backend_servers:\n", name, version, hash)
	for _, a := range addresses {
		fmt.Fprintf(&b, "      - {address: %s, port: 6080, connections: 2000, slots: 2, cold: {connections: 50, slots: 1, ramp: 60s}}\n", a)
	}
	return []byte(b.String())
}

func startedState() *State {
	s := New(Config{})
	s.EndStartPhase()
	return s
}

// offer offers a value from the platform and returns the reason if it is rejected.
func offer(s *State, key string, raw []byte) Refusal { return s.Offer(now, Platform, key, raw).Refusal }

// versions returns the accepted versions as text, such as "services/a=2".
func versions(s *State) string {
	var list []string
	for _, v := range s.Versions(DifferentParts([256]uint64{}, s.PartialDigests())) {
		list = append(list, fmt.Sprintf("%s=%d", v.Key, v.Version))
	}
	return strings.Join(list, " ")
}

const keyA, keyB = "services/a", "services/b"

// TestRefusals guards against a missing or wrong reason of rejection, and against
// a rejected value that replaces the accepted one.
func TestRefusals(t *testing.T) {
	good := service("a", 5, "127.0.0.1")
	rows := []struct {
		key  string
		raw  string
		want Refusal
	}{
		{keyA, "version: [", RefusalMalformed},
		{keyA, string(good) + "extra: 1\n", RefusalUnknownField},
		{keyA, strings.Replace(string(good), "tcp", "sctp", 1), RefusalInvalidValue},
		{keyA, string(service("a", 4, "127.0.0.1")), RefusalOlderVersion},
		{keyA, string(good) + "# changed\n", RefusalSameVersion},
		{keyA, string(service("z", 6, "127.0.0.1")), RefusalInvalidValue},
		{keyB, string(service("b", 1, "127.0.0.1")), RefusalAddressConflict},
		{keyA, strings.Repeat("x", document.MaxValueBytes+1), RefusalTooLarge},
		{"services/../x", "x", RefusalInvalidValue},
		{"other", "x", RefusalInvalidValue},
		{keyA, string(good), RefusalNone},
	}
	s := startedState()
	if r := s.Offer(now, Platform, keyA, good); !r.Accepted || !r.Push || !slices.Equal(r.Keys, []string{keyA}) {
		t.Fatalf("valid document: %+v", r)
	}
	summary := s.Summary()
	for _, row := range rows {
		parsed := s.OfferParsed(now, Platform, Parse(row.key, []byte(row.raw)))
		r := s.Offer(now, Platform, row.key, []byte(row.raw))
		if parsed.Refusal != r.Refusal {
			t.Errorf("%.40q: OfferParsed gives %q, Offer %q", row.raw, parsed.Refusal, r.Refusal)
		}
		if r.Refusal != row.want || r.Accepted || (r.Err == nil) != (row.want == RefusalNone) {
			t.Errorf("%.40q: got %+v, want %q", row.raw, r, row.want)
		}
	}
	if s.Summary() != summary || s.Current().Services["a"].Version != 5 {
		t.Error("a rejected value changed the state")
	}
	if n := len(s.Refusals()); n != 10 {
		t.Errorf("%d records, want 10", n)
	}
}

// TestHostLists guards against comparing the version of a data centre's list with
// that of another list, and against replacing a list by an older version.
func TestHostLists(t *testing.T) {
	host := "version: %d\nhosts:\n  - {id: %s, data_centre: %s, region: r, address: 127.0.0.1, peer_port: %d, gue_port: 2, state: live}\n"
	s := startedState()
	rows := []struct {
		key, id, dc   string
		version, port int
		want          Refusal
		hosts         int
	}{
		{"hosts", "b1", "b", 7, 3, RefusalNone, 1},
		{"hosts/a", "a1", "a", 2, 4, RefusalNone, 2},
		{"hosts/a", "a1", "a", 1, 4, RefusalOlderVersion, 2},
		{"hosts/c", "a1", "a", 9, 5, RefusalInvalidValue, 2},
		{"hosts/b", "b2", "b", 1, 6, RefusalNone, 2},
		{"hosts", "b3", "b", 8, 7, RefusalNone, 2},
	}
	for _, row := range rows {
		got := offer(s, row.key, fmt.Appendf(nil, host, row.version, row.id, row.dc, row.port))
		if a := s.Current(); got != row.want || len(a.Hosts.Hosts) != row.hosts {
			t.Errorf("%+v: %q, hosts %v", row, got, a.Hosts.Hosts)
		}
	}
	if lists := s.Current().HostLists; !slices.Equal(lists, []string{"a", "b"}) {
		t.Errorf("data centres with lists: %v", lists)
	}
}

// TestRevertAfterRestart guards against a document that reverts to an older
// version when a host restarts: its peers send it the newest version, and then it
// reads a stale copy from the platform.
func TestRevertAfterRestart(t *testing.T) {
	before := startedState()
	offer(before, keyA, service("a", 7, "127.0.0.1"))
	after := New(Config{})
	value, _ := before.Get(keyA)
	after.Offer(now, FromPeer("h1", value), keyA, value.Raw)
	if got := offer(after, keyA, service("a", 6, "127.0.0.1")); got != RefusalOlderVersion {
		t.Errorf("stale copy in the start phase: %q", got)
	}
	if after.Current().Services["a"].Version != 7 || after.Summary() != before.Summary() {
		t.Error("the restarted host differs from its peer")
	}
}

// TestConflictResolved guards against a document that stays rejected after the
// other service has stopped using the address.
func TestConflictResolved(t *testing.T) {
	s := startedState()
	offer(s, keyA, service("a", 1, "127.0.0.1", "127.0.0.2"))
	offer(s, keyB, service("b", 1, "127.0.0.3"))
	if got := offer(s, keyB, service("b", 2, "127.0.0.2")); got != RefusalAddressConflict {
		t.Fatalf("conflicting document: %q", got)
	}
	r := s.Offer(now, Platform, keyA, service("a", 2, "127.0.0.1"))
	if !slices.Equal(r.Keys, []string{keyA, keyB}) || versions(s) != "services/a=2 services/b=2" {
		t.Errorf("after the resolution: %+v, versions %s", r, versions(s))
	}
	if len(s.Refusals()) != 0 {
		t.Errorf("records of resolved conflicts remain: %v", s.Refusals())
	}
}

// TestSwappedAddresses guards against two services that block each other when
// they swap addresses.
func TestSwappedAddresses(t *testing.T) {
	s := startedState()
	offer(s, keyA, service("a", 1, "127.0.0.1"))
	offer(s, keyB, service("b", 1, "127.0.0.2"))
	offer(s, keyA, service("a", 2, "127.0.0.2"))
	if r := s.Offer(now, Platform, keyB, service("b", 2, "127.0.0.1")); !r.Accepted || versions(s) != "services/a=2 services/b=2" {
		t.Errorf("swap: %+v, versions %s", r, versions(s))
	}
	if len(s.Current().Conflicted) != 0 {
		t.Errorf("conflicts remain: %v", s.Current().Conflicted)
	}
}

// TestConflictAtStart guards against a host that, in its start phase, prefers one
// of two conflicting documents only because it read that one first, and against
// such a conflict spreading to hosts that have left their start phase.
func TestConflictAtStart(t *testing.T) {
	shared := netip.MustParseAddrPort("127.0.0.1:6080")
	a, b := service("a", 1, "127.0.0.1", "127.0.0.2"), service("b", 1, "127.0.0.1")
	s := New(Config{})
	offer(s, keyA, a)
	offer(s, keyB, b)
	s.EndStartPhase()
	if !s.Current().Conflicted[shared] || len(s.Current().Services) != 2 || len(s.Current().Conflicted) != 1 {
		t.Fatalf("conflict in the start phase: %v", s.Current().Conflicted)
	}
	for key, other := range map[string]string{keyA: keyB, keyB: keyA} {
		value, _ := s.Get(key)
		otherValue, _ := s.Get(other)
		established := startedState()
		offer(established, other, otherValue.Raw)
		if r := established.Offer(now, FromPeer("h1", value), key, value.Raw); r.Refusal != RefusalAddressConflict {
			t.Errorf("unconfirmed conflict from a peer: %+v", r)
		}
	}
	late := New(Config{})
	late.Offer(now, Source{Peer: "h1"}, keyA, a)
	if got := offer(late, keyB, b); got != RefusalAddressConflict {
		t.Errorf("conflict with a document that a peer has accepted: %q", got)
	}
	offer(s, keyB, service("b", 2, "127.0.0.3"))
	if len(s.Current().Conflicted) != 0 {
		t.Error("a newer version did not resolve the conflict")
	}
	if v, _ := s.Get(keyA); v.Unconfirmed {
		t.Error("a document without conflict stays unconfirmed")
	}
}

// TestConflictAfterPartition guards against two sides of a partition that still
// have different versions after the partition has healed.
func TestConflictAfterPartition(t *testing.T) {
	left, right := startedState(), startedState()
	offer(left, keyA, service("a", 1, "127.0.0.1"))
	offer(right, keyB, service("b", 1, "127.0.0.1"))
	exchange(left, right)
	exchange(right, left)
	if left.Summary() != right.Summary() || len(left.Current().Conflicted) != 1 || len(right.Current().Conflicted) != 1 {
		t.Errorf("left %s, right %s", versions(left), versions(right))
	}
}

// exchange makes to compare its versions with those of from and fetch the values
// that are newer there.
func exchange(to, from *State) {
	parts := DifferentParts(to.PartialDigests(), from.PartialDigests())
	c := to.Compare(now, Source{Peer: "from"}, parts, from.Versions(parts))
	for len(c.Fetch) > 0 {
		values := from.Values(c.Fetch)
		for _, v := range values {
			to.Offer(now, FromPeer("from", v), v.Key, v.Raw)
		}
		c.Fetch = c.Fetch[len(values):]
	}
}

// TestCompare guards against fetching a rejected version again with every
// comparison, and against differences that are not found.
func TestCompare(t *testing.T) {
	s, peer := startedState(), startedState()
	offer(s, keyA, service("a", 2, "127.0.0.1"))
	offer(s, keyB, service("b", 2, "127.0.0.2"))
	offer(s, "datacentres", []byte("{version: 2, out: []}"))
	offer(peer, keyA, service("a", 1, "127.0.0.1"))
	offer(peer, keyB, service("b", 2, "127.0.0.3"))
	offer(peer, "datacentres", []byte("{version: 3, out: [x]}"))
	offer(peer, "services/c", service("c", 1, "127.0.0.4"))
	parts := DifferentParts(s.PartialDigests(), peer.PartialDigests())
	got := s.Compare(now, Source{Peer: "p"}, parts, peer.Versions(parts))
	want := Comparison{Fetch: []string{"datacentres", "services/c"}, Send: []string{keyA}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if r := s.Refusals(); len(r) != 1 || r[0].Reason != RefusalSameVersion {
		t.Errorf("equal version with another digest: %+v", r)
	}
	bad := []byte("version: [")
	s.Offer(now, Source{Peer: "p"}, "services/d", bad)
	listed := []Version{{Key: "services/d", Version: 3, Digest: document.Digest(bad)}}
	if c := s.Compare(now, Source{Peer: "p"}, nil, listed); len(c.Fetch) != 0 {
		t.Errorf("a rejected value is fetched again: %+v", c)
	}
	exchange(s, peer)
	if versions(s) != "datacentres=3 services/a=2 services/b=2 services/c=1" {
		t.Errorf("after the exchange: %s", versions(s))
	}
}

// TestPushes guards against data centre state that is sent after documents, and
// against messages over the size limit.
func TestPushes(t *testing.T) {
	s := New(Config{Fanout: 2, MaxMessage: 2000})
	for i := range 5 {
		name := fmt.Sprintf("s%d", i)
		offer(s, "services/"+name, service(name, 1, fmt.Sprintf("127.0.0.%d", i+1)))
	}
	offer(s, "datacentres", []byte("{version: 1, out: [a]}"))
	group, peers := []string{"g1", "g2", "g3"}, []string{"g1", "p1", "p2", "p3"}
	pushes := s.TakePushes(group, peers)
	if p := pushes[0]; p.Values[0].Key != "datacentres" || len(p.Values) != 1 || len(p.To) < 4 || !slices.Equal(p.To[:3], group) {
		t.Errorf("first push: %v to %v", p.Values[0].Key, p.To)
	}
	sent := 0
	for _, p := range pushes[1:] {
		size := 0
		for _, v := range p.Values {
			size += encodedSize(v)
		}
		sent += len(p.Values)
		if size > 2000 || len(p.To) != 2 {
			t.Errorf("push of %d bytes to %v", size, p.To)
		}
	}
	if sent != 5 || len(s.TakePushes(group, peers)) != 0 {
		t.Errorf("%d documents pushed, want 5, each of them once", sent)
	}
	if got := New(Config{}).TakePushes(group, peers); got != nil {
		t.Errorf("pushes without values: %v", got)
	}
}

// TestRefusalsAreBounded guards against rejected values of the platform that fill
// the memory.
func TestRefusalsAreBounded(t *testing.T) {
	s := New(Config{MaxRefusals: 3})
	for i := range 10 {
		s.Offer(now.Add(time.Duration(i)*time.Second), Platform, keyA, fmt.Appendf(nil, "bad %d %s", i, strings.Repeat("x", 1<<15)))
	}
	s.Offer(now.Add(time.Minute), Platform, strings.Repeat("k", 1<<15), []byte("bad"))
	records := s.Refusals()
	if len(records) != 3 || !records[0].Last.Equal(now.Add(time.Minute)) {
		t.Errorf("records: %+v", records)
	}
	for _, r := range records {
		if len(r.Key) > maxKeyBytes || len(r.Error) > maxRefusalText {
			t.Errorf("record of %d and %d bytes", len(r.Key), len(r.Error))
		}
	}
}

// TestReaders guards against a change of readers when an unrelated host leaves.
func TestReaders(t *testing.T) {
	hosts := []string{"h1", "h2", "h3", "h4"}
	readers := Readers("a", hosts)
	rest := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return slices.Contains(readers, h) })
	if len(readers) != 2 || !slices.Equal(Readers("a", append(readers[:2:2], rest[0])), readers) {
		t.Errorf("readers %v", readers)
	}
	if got := Readers("a", []string{"h1"}); !slices.Equal(got, []string{"h1"}) {
		t.Errorf("single host: %v", got)
	}
}

// offeredValue is a value in the property test.
type offeredValue struct {
	key string
	raw []byte
}

// documents returns documents of four services. Their addresses depend on service
// and version. With shared set, services often claim the same address.
func documents(seeds []uint8, shared bool) []offeredValue {
	list := make([]offeredValue, len(seeds))
	for i, seed := range seeds {
		name, version := string('a'+rune(seed%4)), int(seed/4%8)+1
		address := fmt.Sprintf("127.0.%d.%d", seed%4, version)
		if shared {
			address = fmt.Sprintf("127.0.0.%d", (int(seed%4)+version)%5+1)
		}
		list[i] = offeredValue{"services/" + name, service(name, version, address)}
	}
	return list
}

// TestOfferOrderIsIrrelevant guards against accepted versions that depend on the
// order of offers, and against versions that decrease. Peers offer documents that
// may conflict; the platform offers documents that do not.
func TestOfferOrderIsIrrelevant(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MaxSize = 30 // documents per run
	properties := gopter.NewProperties(parameters)
	run := func(src Source, seeds []uint8, order uint64, shared bool) bool {
		offers := documents(seeds, shared)
		first, second := startedState(), startedState()
		if !offerAll(first, src, offers) {
			return false
		}
		rand.New(rand.NewPCG(order, 1)).Shuffle(len(offers), func(i, j int) { offers[i], offers[j] = offers[j], offers[i] })
		return offerAll(second, src, offers) && first.Summary() == second.Summary() &&
			first.PartialDigests() == second.PartialDigests() && reflect.DeepEqual(first.Current(), second.Current())
	}
	bytes := gen.SliceOf(gen.UInt8())
	properties.Property("platform, without conflicts", prop.ForAll(func(seeds []uint8, order uint64) bool {
		return run(Platform, seeds, order, false)
	}, bytes, gen.UInt64()))
	properties.Property("peers, with conflicts", prop.ForAll(func(seeds []uint8, order uint64) bool {
		return run(Source{Peer: "p"}, seeds, order, true)
	}, bytes, gen.UInt64()))
	properties.Property("hosts that accepted different documents agree after exchanges", prop.ForAll(func(left, right []uint8) bool {
		a, b := startedState(), startedState()
		offerAll(a, Platform, documents(left, true))
		offerAll(b, Platform, documents(right, true))
		// An exchange may resolve the conflict of a document that is pending at
		// the other host, so the hosts exchange values several times.
		for range 4 {
			exchange(a, b)
			exchange(b, a)
		}
		return a.Summary() == b.Summary() && reflect.DeepEqual(a.Current(), b.Current())
	}, bytes, bytes))
	properties.TestingRun(t)
}

// offerAll offers values and reports whether no accepted version decreased.
func offerAll(s *State, src Source, offers []offeredValue) bool {
	for _, o := range offers {
		before, _ := s.Get(o.key)
		s.Offer(now, src, o.key, o.raw)
		if after, _ := s.Get(o.key); after.Version < before.Version {
			return false
		}
	}
	return true
}

// FuzzOffer guards against values that cause a panic or are accepted without a
// version.
func FuzzOffer(f *testing.F) {
	f.Add(keyA, service("a", 1, "127.0.0.1"))
	f.Add("datacentres", []byte("{version: 1, out: []}"))
	f.Add("hosts", []byte("version: 1\nhosts: [{id: a}]"))
	f.Fuzz(func(t *testing.T, key string, raw []byte) {
		s := New(Config{})
		r := s.Offer(now, Platform, key, raw)
		if v, ok := s.Get(key); ok != r.Accepted || ok && v.Version == 0 {
			t.Errorf("result %+v, value %+v", r, v)
		}
	})
}

// TestUnparsedCandidateIsParsedWhenReplaced guards against accepting a value that
// was never parsed: it was in effect when it arrived, and a newer one replaced it
// before it was offered.
func TestUnparsedCandidateIsParsedWhenReplaced(t *testing.T) {
	s := New(Config{})
	raw := func(version int) []byte { return fmt.Appendf(nil, "version: %d\nout: []\n", version) }
	s.Offer(time.Time{}, Platform, document.DataCentresKey, raw(1))
	c, inEffect := s.UnparsedCandidate(document.DataCentresKey, raw(1))
	if !inEffect {
		t.Fatal("the value in effect is reported as not in effect")
	}
	s.Offer(time.Time{}, Platform, document.DataCentresKey, raw(2))
	if r := s.OfferParsed(time.Time{}, Platform, c); r.Accepted || r.Refusal != RefusalOlderVersion {
		t.Errorf("got %+v, want a rejection as older_version", r)
	}
}
