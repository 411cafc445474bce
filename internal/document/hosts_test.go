package document

import (
	"net/netip"
	"strings"
	"testing"
)

// TestParseHostListOf guards against a list that names hosts of another data
// centre, and against a truncated list that removes a data centre.
func TestParseHostListOf(t *testing.T) {
	rows := []struct{ raw, fault string }{
		{validHosts, ""},
		{"{version: 1, hosts: []}", ""},
		{"{version: 1}", "hosts"},
		{"{version: 1, hosts: }", "hosts"},
		{strings.Replace(validHosts, "substation-a", "substation-b", 1), "hosts[0].data_centre"},
		{strings.Replace(validHosts, "state: live", "state: dead", 1), "hosts[0].state"},
	}
	for _, row := range rows {
		_, err := ParseHostListOf("substation-a", []byte(row.raw))
		if (err == nil) != (row.fault == "") || err != nil && !strings.HasPrefix(err.Error(), row.fault) {
			t.Errorf("%q: %v, want a fault of %q", row.raw, err, row.fault)
		}
	}
}

// TestMergeHostLists guards against a list that removes the hosts of another
// data centre, or of a data centre that has a list of its own.
func TestMergeHostLists(t *testing.T) {
	leaving := netip.MustParseAddrPort("127.0.0.9:1")
	list := func(names ...string) *HostList {
		l := &HostList{Version: 1, LeavingBackends: []netip.AddrPort{leaving}}
		for _, name := range names {
			dc, id, _ := strings.Cut(name, "/")
			addr := netip.AddrFrom4([4]byte{127, 0, id[0], id[1]})
			l.Hosts = append(l.Hosts, Host{ID: id, DataCentre: dc, Address: addr, PeerPort: 1})
		}
		return l
	}
	rows := []struct {
		name string
		all  *HostList
		own  map[string]*HostList
		want string
	}{
		{"all", list("a/a1", "b/b1"), nil, "a1 b1"},
		{"none", nil, nil, ""},
		{"own only", nil, map[string]*HostList{"b": list("b/b1"), "a": list("a/a1")}, "a1 b1"},
		{"own beside all", list("a/a1", "a/a2", "b/b1"), map[string]*HostList{"a": list("a/a2", "a/a3")}, "a2 a3 b1"},
		{"data centre that all lacks", list("b/b1"), map[string]*HostList{"a": list("a/a1")}, "a1 b1"},
		{"data centre that is closed", list("a/a1", "b/b1"), map[string]*HostList{"a": list()}, "b1"},
		{"host that moves", list("b/x1", "b/b1"), map[string]*HostList{"a": list("a/x1"), "c": list("c/x1")}, "x1 b1"},
	}
	for _, row := range rows {
		got := MergeHostLists(row.all, row.own)
		var ids []string
		if got != nil {
			for _, h := range got.Hosts {
				ids = append(ids, h.ID)
			}
			if len(got.LeavingBackends) != 1 {
				t.Errorf("%s: leaving %v", row.name, got.LeavingBackends)
			}
		}
		if strings.Join(ids, " ") != row.want {
			t.Errorf("%s: %v, want %s", row.name, ids, row.want)
		}
	}
}
