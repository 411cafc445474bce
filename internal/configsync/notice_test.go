package configsync

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// padded returns a document above the size that is announced.
func padded(name string, version int) []byte {
	return append(service(name, version, "127.0.0."+name[1:]), "# "+strings.Repeat("x", noticeBytes)+"\n"...)
}

// TestNotices guards against small values and data centre state that wait for
// a fetch, and against large values that are sent to every peer.
func TestNotices(t *testing.T) {
	s := started()
	state := "version: 1\nout: [a] # " + strings.Repeat("x", noticeBytes) + "\n"
	offer(s, "datacentres", []byte(state))
	offer(s, "services/s1", padded("s1", 3))
	offer(s, "services/s2", service("s2", 1, "127.0.0.2"))
	var values, notices []string
	for _, p := range s.TakePushes([]string{"g"}, []string{"p"}) {
		for _, v := range p.Values {
			values = append(values, v.Key)
		}
		for _, v := range p.Notices {
			notices = append(notices, v.Key)
		}
	}
	if !slices.Equal(values, []string{"datacentres", "services/s2"}) || !slices.Equal(notices, []string{"services/s1"}) {
		t.Errorf("values %v, notices %v", values, notices)
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
		if got := s.Announced(now.Add(row.after), src, []Version{row.notice}); (len(got) == 1) != row.want {
			t.Errorf("%s: fetch %v", row.name, got)
		}
	}
	s.Fetched([]string{keyA})
	if got := s.Announced(now, src, []Version{{Key: keyA, Version: 4}}); len(got) != 1 {
		t.Error("no fetch after the previous one has ended")
	}
}
