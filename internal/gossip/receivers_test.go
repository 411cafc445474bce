package gossip

import (
	"net/netip"
	"testing"
	"time"
)

// propagation simulates how one change propagates through a fleet.
type propagation struct {
	*fleet
	index    map[netip.AddrPort]int
	has      map[int]bool          // hosts that have the change
	behind   map[int]time.Duration // when a host first received a message that shows it is behind
	messages int                   // that carry the change
	crossDC  int                   // number of them sent between data centres
}

// receive hands the change to a host, which forwards it at once if it is new.
func (s *propagation) receive(i int, from netip.AddrPort) {
	if s.has[i] {
		return
	}
	s.has[i] = true
	local, remote := s.members[i].ChangeReceivers(from, s.now)
	for _, to := range append(local, remote...) {
		s.deliver(i, s.index[to])
	}
}

// deliver sends the change from one host to another.
func (s *propagation) deliver(from, to int) {
	s.messages++
	if s.hosts[from].DataCentre != s.hosts[to].DataCentre {
		s.crossDC++
	}
	if !s.down[to] && !s.partitioned(from, to) {
		s.receive(to, s.hosts[from].Addr)
	}
}

// round sends the messages of all hosts that have the change. Receivers that are behind fetch it.
func (s *propagation) round() {
	for i, m := range s.members {
		if !s.has[i] {
			continue
		}
		local, remote := m.Receivers(s.now)
		for _, to := range append(local, remote...) {
			j := s.index[to]
			if s.has[j] || s.partitioned(i, j) {
				continue
			}
			if _, ok := s.behind[j]; !ok {
				s.behind[j] = s.now
			}
			if s.members[j].ShouldFetchFrom(s.hosts[i], s.now-s.behind[j]) {
				s.deliver(i, j)
			}
		}
	}
	s.now += 250 * time.Millisecond
}

// Guards against changes that are sent between data centres once for each host (in a sweep at 300 hosts: most of 0.4 GB),
// and against hosts that receive changes late because of that restriction, also when messages of the reader are lost.
func TestChangesRarelyCrossDataCentres(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fleet *fleet
		lost  bool // messages of the reader to other data centres are lost
	}{
		{"90 hosts", newFleet(90), false},
		{"300 hosts in 5", newFleetIn(300, "a", "b", "c", "d", "e"), false},
		{"300 hosts in 5, lost", newFleetIn(300, "a", "b", "c", "d", "e"), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &propagation{fleet: tt.fleet, index: map[netip.AddrPort]int{}, has: map[int]bool{}, behind: map[int]time.Duration{}}
			dataCentres := map[string]bool{}
			for i, h := range s.hosts {
				s.index[h.Addr] = i
				dataCentres[h.DataCentre] = true
			}
			const reader = 0
			if tt.lost {
				s.partitioned = func(from, to int) bool { return from == reader && s.hosts[to].DataCentre != s.hosts[reader].DataCentre }
			}
			s.receive(reader, netip.AddrPort{})
			rounds := 0
			for ; len(s.has) < len(s.hosts) && rounds < 8; rounds++ {
				s.round()
			}
			if len(s.has) < len(s.hosts) {
				t.Fatalf("%d of %d hosts have the change after %d rounds", len(s.has), len(s.hosts), rounds)
			}
			t.Logf("%d messages, %d between data centres, %d rounds", s.messages, s.crossDC, rounds)
			if allowed := 10 * len(dataCentres); s.crossDC > allowed {
				t.Errorf("the change was sent %d times between data centres, to %d other ones; allowed %d", s.crossDC, len(dataCentres)-1, allowed)
			}
		})
	}
}
