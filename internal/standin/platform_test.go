package standin

import (
	"testing"
)

// TestPlatformStore guards against a stand-in whose indexes differ from those of
// the Consul KV HTTP API. A single index for all prefixes would hide blocking
// reads that return on a change of another prefix, or do not return at all.
func TestPlatformStore(t *testing.T) {
	s := newPlatformStore()
	s.put("n/services/ab", 5, nil)
	s.put("n/services/abc", 7, nil)
	s.put("n/services/b", 9, nil)
	s.put("n/services/x", 11, nil)
	s.remove("n/services/x")
	rows := []struct {
		query platformQuery
		index uint64
		count int
	}{
		{platformQuery{path: "n/", recurse: true}, 12, 3},
		{platformQuery{path: "n/services/a", recurse: true}, 7, 2},
		{platformQuery{path: "n/services/a", keys: true}, 7, 2},
		{platformQuery{path: "n/services/ab"}, 5, 1},
		{platformQuery{path: "n/services/b", recurse: true}, 9, 1},
		{platformQuery{path: "n/services/x", recurse: true}, 12, 0},
		{platformQuery{path: "n/services/z", recurse: true}, 12, 0},
	}
	for _, row := range rows {
		if a := s.read(row.query); a.index != row.index || len(a.entries) != row.count {
			t.Errorf("%+v: index %d and %d entries, want %d and %d", row.query, a.index, len(a.entries), row.index, row.count)
		}
	}
}
