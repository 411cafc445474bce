package peer

import (
	"bytes"
	"crypto/sha256"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

var datagramKey = &[16]byte{1, 2, 3}

// TestOpenDatagramRefuses guards against a changed datagram that is accepted or
// refused for a wrong reason.
func TestOpenDatagramRefuses(t *testing.T) {
	good := SealDatagram(nil, datagramKey, "a", 7, 8, []byte("body"))
	change := func(i int) []byte { b := bytes.Clone(good); b[i] ^= 0xFF; return b }
	cases := []struct {
		name  string
		input []byte
		want  error
	}{
		{"unchanged", good, nil},
		{"empty", nil, ErrTruncated},
		{"truncated", good[:len(good)-1], ErrWrongTag},
		{"truncated to the header", good[:20], ErrTruncated},
		{"extended", append(bytes.Clone(good), 0), ErrWrongTag},
		{"forwarded packet", change(0), ErrUnknownVersion},
		{"id length beyond the end", append([]byte{DatagramVersion, 60}, good[2:]...), ErrTruncated},
		{"id too long", change(1), ErrInvalidSender},
		{"no id", SealDatagram(nil, datagramKey, "", 7, 8, []byte("body")), ErrInvalidSender},
		{"other id", change(2), ErrWrongTag},
		{"other boot", change(3), ErrWrongTag},
		{"other body", change(len(good) - 10), ErrWrongTag},
		{"other tag", change(len(good) - 1), ErrWrongTag},
		{"wrong key", SealDatagram(nil, new([16]byte), "a", 7, 8, nil), ErrWrongTag},
		{"oversized", SealDatagram(nil, datagramKey, "a", 7, 8, make([]byte, MaxDatagram)), ErrTooLarge},
	}
	for _, tc := range cases {
		d, err := OpenDatagram(tc.input, datagramKey)
		if !errors.Is(err, tc.want) {
			t.Errorf("%s: got %v, want %v", tc.name, err, tc.want)
		}
		if err == nil && (d.From != "a" || d.Boot != 7 || d.Seq != 8 || string(d.Body) != "body") {
			t.Errorf("%s: got %+v", tc.name, d)
		}
	}
}

// TestReplayFilter guards against accepting a datagram twice, and against refusing
// a late datagram within the window.
func TestReplayFilter(t *testing.T) {
	f := NewReplayFilter()
	steps := []struct {
		from      string
		boot, seq uint64
		want      error
	}{
		{"a", 5, 100, nil},
		{"a", 5, 100, ErrReplayed},
		{"a", 5, 37, nil},
		{"a", 5, 37, ErrReplayed},
		{"a", 5, 36, ErrTooOld},
		{"b", 5, 100, nil},
		{"a", 5, 1000, nil},
		{"a", 5, 100, ErrTooOld},
		{"a", 5, 999, nil},
		{"a", 6, 1, nil},
		{"a", 6, 1, ErrReplayed},
		{"a", 5, 1000, ErrReplayed}, // the previous boot keeps its window
		{"a", 5, 1001, nil},
		{"a", 4, 1, ErrOldBoot},
		{"a", 7, 0, nil},
		{"a", 7, 0, ErrReplayed},
		{"a", 5, 1002, ErrOldBoot},
	}
	for i, s := range steps {
		if err := f.Accept(&Datagram{From: s.from, Boot: s.boot, Seq: s.seq}); !errors.Is(err, s.want) {
			t.Errorf("step %d %+v: got %v", i, s, err)
		}
	}
	f.Retain(func(id string) bool { return id == "b" })
	if len(f.senders) != 1 {
		t.Errorf("%d senders, want the listed one", len(f.senders))
	}
}

// TestDatagrams guards against accepting a datagram twice, and against a reason of
// refusal without a counter of its own.
func TestDatagrams(t *testing.T) {
	set := metrics.NewSet()
	a, b := NewDatagrams("a", 1, *datagramKey, nil), NewDatagrams("b", 1, *datagramKey, set)
	for _, r := range datagramReasons {
		sealed := a.Seal(nil, []byte("body"))
		_, first := b.Open(sealed)
		if _, err := b.Open(sealed); first != nil || !errors.Is(err, ErrReplayed) {
			t.Fatalf("got %v and %v, want nil and %v", first, err, ErrReplayed)
		}
		counter := set.GetOrCreateCounter(`nutmeglatch_peer_datagrams_refused_total{reason="` + r.reason + `"}`)
		before := counter.Get()
		CountRefusedDatagram(set, errors.Wrap(r.err, "receive"))
		if n := counter.Get(); n != before+1 || (before != 0) != (r.err == ErrReplayed) {
			t.Errorf("%s: counted %d, then %d", r.reason, before, n)
		}
	}
}

// TestChallengeRoles guards against a MAC of the accepting host that is valid as
// that of the dialling host.
func TestChallengeRoles(t *testing.T) {
	c := challenge{dialler: "a", acceptor: "b", diallerNonce: newNonce(), acceptorNonce: newNonce()}
	if err := c.verify(nil, roleDialler, c.mac(nil, roleAcceptor)); !errors.Is(err, errMAC) {
		t.Errorf("got %v, want %v", err, errMAC)
	}
}

// FuzzOpenDatagram guards against a panic, and against accepting a datagram that
// SealDatagram would not produce.
func FuzzOpenDatagram(f *testing.F) {
	f.Add(SealDatagram(nil, datagramKey, "a", 7, 8, []byte("body")))
	f.Add([]byte{DatagramVersion, MaxIDBytes})
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := OpenDatagram(b, datagramKey)
		if err == nil && !bytes.Equal(SealDatagram(nil, datagramKey, d.From, d.Boot, d.Seq, d.Body), b) {
			t.Error("a datagram that was opened differs when sealed again")
		}
	})
}

// FuzzDecodeHandshake guards against a panic and against oversized fields.
func FuzzDecodeHandshake(f *testing.F) {
	f.Add([]byte(`{"version":1,"from":"a","to":"b","nonce":"` + strings.Repeat("A", 43) + `="}`))
	f.Add([]byte(`{"version":1,"ok":true}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeHandshake(b)
		if err == nil && (len(m.From) > MaxIDBytes || len(m.Nonce) > nonceBytes || len(m.MAC) > sha256.Size) {
			t.Errorf("accepted %+v", m)
		}
	})
}

func BenchmarkDatagram(b *testing.B) {
	body := make([]byte, 200)
	buf := make([]byte, 0, MaxDatagram)
	d := NewDatagrams("lhr-gulberg-1", 7, *datagramKey, metrics.NewSet())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.Open(d.Seal(buf, body)); err != nil {
			b.Fatal(err)
		}
	}
}
