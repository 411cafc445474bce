package gossip

import (
	"net/netip"
	"testing"
	"time"
)

// spreading follows one change through a fleet.
type spreading struct {
	*fleet
	index    map[netip.AddrPort]int
	knows    map[int]bool
	behind   map[int]time.Duration // when a host first heard that it is behind
	messages int                   // with the change
	crossed  int                   // of them, between data centres
}

// learn lets a host know the change, and all that it passes it on to at once.
func (s *spreading) learn(i int, from netip.AddrPort) {
	if s.knows[i] {
		return
	}
	s.knows[i] = true
	near, far := s.members[i].ChangeReceivers(from, s.now)
	for _, to := range append(near, far...) {
		s.pass(i, s.index[to])
	}
}

// pass moves the change from one host to another.
func (s *spreading) pass(from, to int) {
	s.messages++
	if s.hosts[from].DataCentre != s.hosts[to].DataCentre {
		s.crossed++
	}
	if !s.down[to] && !s.cut(from, to) {
		s.learn(to, s.hosts[from].Addr)
	}
}

// round lets each host that knows the change announce it, and hosts behind fetch it.
func (s *spreading) round() {
	for i, m := range s.members {
		if !s.knows[i] {
			continue
		}
		near, far := m.Receivers(s.now)
		for _, to := range append(near, far...) {
			j := s.index[to]
			if s.knows[j] || s.cut(i, j) {
				continue
			}
			if _, ok := s.behind[j]; !ok {
				s.behind[j] = s.now
			}
			if s.members[j].ShouldFetchFrom(s.hosts[i], s.now-s.behind[j]) {
				s.pass(i, j)
			}
		}
	}
	s.now += 250 * time.Millisecond
}

// Guards against changes that cross between data centres for each host (sweep at 300 hosts: most of 0.4 GB), and against
// hosts that learn them late for the sparing, also where messages of the reader are lost.
func TestChangesCrossFewTimes(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fleet *fleet
		lost  bool // what the reader sends to other data centres
	}{
		{"90 hosts", newFleet(90), false},
		{"300 hosts in 5", newFleetIn(300, "a", "b", "c", "d", "e"), false},
		{"300 hosts in 5, lost", newFleetIn(300, "a", "b", "c", "d", "e"), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &spreading{fleet: tt.fleet, index: map[netip.AddrPort]int{}, knows: map[int]bool{}, behind: map[int]time.Duration{}}
			places := map[string]bool{}
			for i, h := range s.hosts {
				s.index[h.Addr] = i
				places[h.DataCentre] = true
			}
			const reader = 0
			if tt.lost {
				s.cut = func(from, to int) bool { return from == reader && s.hosts[to].DataCentre != s.hosts[reader].DataCentre }
			}
			s.learn(reader, netip.AddrPort{})
			rounds := 0
			for ; len(s.knows) < len(s.hosts) && rounds < 8; rounds++ {
				s.round()
			}
			if len(s.knows) < len(s.hosts) {
				t.Fatalf("%d of %d hosts know the change after %d rounds", len(s.knows), len(s.hosts), rounds)
			}
			t.Logf("%d messages, %d between data centres, %d rounds", s.messages, s.crossed, rounds)
			if allowed := 10 * len(places); s.crossed > allowed {
				t.Errorf("the change crossed %d times to %d other data centres, allowed %d", s.crossed, len(places)-1, allowed)
			}
		})
	}
}
