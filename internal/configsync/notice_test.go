package configsync

import (
	"strings"
	"testing"
	"time"
)

// TestNotices guards against small values and data centre state that wait for
// a fetch, and against large values that are sent to every peer.
func TestNotices(t *testing.T) {
	s, padding := started(), "# "+strings.Repeat("x", noticeBytes)+"\n"
	offer(s, "datacentres", []byte("version: 1\nout: [a]\n"+padding))
	offer(s, keyA, append(service("a", 3, "127.0.0.1"), padding...))
	offer(s, keyB, service("b", 1, "127.0.0.2"))
	m, covered := s.PushMessageFor([]string{"datacentres", keyA, keyB})
	if covered != 3 || len(m.Values) != 2 || m.Values[0].Key != "datacentres" || len(m.Announcements) != 1 || m.Announcements[0].Key != keyA {
		t.Errorf("%d values, notices %v, %d covered", len(m.Values), m.Announcements, covered)
	}
}

// TestAnnounced guards against several fetches of one value at a time, against
// a fetch that never ends and blocks others, and against fetches of values
// that are in effect or were rejected.
func TestAnnounced(t *testing.T) {
	s, src := started(), Source{Peer: "p"}
	offer(s, keyA, service("a", 2, "127.0.0.1"))
	bad := []byte("version: [")
	s.Offer(now, src, keyB, bad)
	refusal := s.Refusals()[0]
	rows := []struct {
		name   string
		after  time.Duration
		notice Version
		want   bool
	}{
		{"older", 0, Version{Key: keyA, Version: 1}, false},
		{"newer", 0, Version{Key: keyA, Version: 3}, true},
		{"again", time.Millisecond, Version{Key: keyA, Version: 3}, false},
		{"newer still", time.Millisecond, Version{Key: keyA, Version: 4}, true},
		{"after the limit", fetchLimit + time.Millisecond, Version{Key: keyA, Version: 4}, true},
		{"rejected", 0, Version{Key: keyB, Version: 9, Digest: refusal.Digest}, false},
		{"unknown", 0, Version{Key: "services/c", Version: 1}, true},
	}
	for _, row := range rows {
		if got := s.AnnouncedToFetch(now.Add(row.after), src, []Version{row.notice}); (len(got) == 1) != row.want {
			t.Errorf("%s: fetch %v", row.name, got)
		}
	}
	s.FetchEnded([]string{keyA})
	if got := s.AnnouncedToFetch(now, src, []Version{{Key: keyA, Version: 4}}); len(got) != 1 {
		t.Error("no fetch after the previous one has ended")
	}
}
