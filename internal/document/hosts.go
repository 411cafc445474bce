package document

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/nutmeglatch/nutmeglatch/internal/strictyaml"
)

// HostListKey reports whether key is the key of a host list, and returns the
// data centre of the list. The name is empty for the list of all data centres.
func HostListKey(key string) (dataCentre string, ok bool) {
	if key == HostsKey {
		return "", true
	}
	dataCentre, ok = strings.CutPrefix(key, HostsKeyPrefix)
	return dataCentre, ok && ValidName(dataCentre)
}

// ParseHostListOf parses and checks the list of the entry hosts of one data
// centre, or of all data centres when dataCentre is empty. The list of one data
// centre may be empty, because the data centre may have been closed.
func ParseHostListOf(dataCentre string, raw []byte) (*HostList, error) {
	if dataCentre == "" {
		return ParseHostList(raw)
	}
	return parse(raw, func(l *HostList) Faults {
		c := &checker{}
		c.version(l.Version)
		c.Require(l.Hosts != nil, "hosts", "", "a list of entry hosts, [] when there are none")
		for i := range l.Hosts {
			name := l.Hosts[i].DataCentre
			c.Require(name == dataCentre, "hosts["+strconv.Itoa(i)+"].data_centre", strictyaml.Quote(name), strictyaml.Quote(dataCentre)+", the data centre in the key")
		}
		l.checkHosts(c)
		l.checkLeaving(c)
		return c.Faults
	})
}

// MergeHostLists returns the effective host list. all is the list of all data
// centres and may be nil; own holds, by data centre, the lists of single data
// centres, which replace the entries of that data centre in all. A host id or
// address that several lists name is taken once, from the data centre whose
// name sorts first.
func MergeHostLists(all *HostList, own map[string]*HostList) *HostList {
	if len(own) == 0 {
		return all
	}
	m := merger{ids: map[string]bool{}, addrs: map[netip.AddrPort]bool{}, leaving: map[netip.AddrPort]bool{}}
	for _, dc := range slices.Sorted(maps.Keys(own)) {
		m.add(own[dc], func(*Host) bool { return true })
	}
	if all != nil {
		m.list.Version = all.Version
		m.add(all, func(h *Host) bool { return own[h.DataCentre] == nil })
	}
	return &m.list
}

// merger collects hosts and leaving backend servers, each once.
type merger struct {
	list    HostList
	ids     map[string]bool
	addrs   map[netip.AddrPort]bool
	leaving map[netip.AddrPort]bool
}

func (m *merger) add(l *HostList, wanted func(*Host) bool) {
	for i := range l.Hosts {
		h := &l.Hosts[i]
		if !wanted(h) || m.ids[h.ID] || m.addrs[h.PeerAddr()] {
			continue
		}
		m.ids[h.ID], m.addrs[h.PeerAddr()] = true, true
		m.list.Hosts = append(m.list.Hosts, *h)
	}
	for _, addr := range l.LeavingBackends {
		if !m.leaving[addr] {
			m.leaving[addr] = true
			m.list.LeavingBackends = append(m.list.LeavingBackends, addr)
		}
	}
}
