package configsync

import (
	"strings"
	"testing"
	"time"
)

// TestLargeValuesAreAnnounced guards against small values or data centre state
// that are announced and arrive only after a fetch, and against large values that
// are pushed whole.
func TestLargeValuesAreAnnounced(t *testing.T) {
	s, padding := startedState(), "# "+strings.Repeat("x", announceThresholdBytes)+"\n"
	offer(s, "datacentres", []byte("version: 1\nout: [a]\n"+padding))
	offer(s, keyA, append(service("a", 3, "127.0.0.1"), padding...))
	offer(s, keyB, service("b", 1, "127.0.0.2"))
	m, covered := s.PushMessageFor([]string{"datacentres", keyA, keyB})
	if covered != 3 || len(m.Values) != 2 || m.Values[0].Key != "datacentres" || len(m.Announcements) != 1 || m.Announcements[0].Key != keyA {
		t.Errorf("%d values, announcements %v, %d covered", len(m.Values), m.Announcements, covered)
	}
}

// TestAnnouncedToFetch guards against several fetches of one value at a time,
// against a fetch that never ends and blocks others, and against fetches of
// values that are older than the accepted one or were rejected.
func TestAnnouncedToFetch(t *testing.T) {
	s, src := startedState(), Source{Peer: "p"}
	offer(s, keyA, service("a", 2, "127.0.0.1"))
	bad := []byte("version: [")
	s.Offer(now, src, keyB, bad)
	refusal := s.Refusals()[0]
	rows := []struct {
		name      string
		after     time.Duration
		announced Version
		want      bool
	}{
		{"older", 0, Version{Key: keyA, Version: 1}, false},
		{"newer", 0, Version{Key: keyA, Version: 3}, true},
		{"fetch in progress", time.Millisecond, Version{Key: keyA, Version: 3}, false},
		{"newer than the one being fetched", time.Millisecond, Version{Key: keyA, Version: 4}, true},
		{"after the time-out", fetchTimeout + time.Millisecond, Version{Key: keyA, Version: 4}, true},
		{"rejected", 0, Version{Key: keyB, Version: 9, Digest: refusal.Digest}, false},
		{"unknown", 0, Version{Key: "services/c", Version: 1}, true},
	}
	for _, row := range rows {
		if got := s.AnnouncedToFetch(now.Add(row.after), src, []Version{row.announced}); (len(got) == 1) != row.want {
			t.Errorf("%s: fetches %v", row.name, got)
		}
	}
	s.FetchEnded([]string{keyA})
	if got := s.AnnouncedToFetch(now, src, []Version{{Key: keyA, Version: 4}}); len(got) != 1 {
		t.Error("no fetch after the previous one has ended")
	}
}
