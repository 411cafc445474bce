package gossip

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// restart resets the members of a host, with the first hosts of the fleet as its seeds.
func (f *fleet) restart(i int) {
	const seeds = 3
	var addrs []netip.AddrPort
	for _, h := range f.hosts[:seeds] {
		addrs = append(addrs, h.Addr)
	}
	f.members[i] = NewMembers(f.hosts[i], addrs, rand.New(rand.NewPCG(uint64(i), 7)))
}

// Guards against hosts that know only their seeds for a long time after their start. They receive changes late, count data
// centres as unreachable and read the store themselves (incident d11f: 4 of 105 hosts known for up to 20 s after all hosts
// had lost power).
func TestStartedHostsDiscoverTheOthers(t *testing.T) {
	for _, tt := range []struct {
		name      string
		hosts     int
		restarted func(i int) bool // nil: all hosts, so that none knows the others
	}{
		{"all of 105", 105, nil},
		{"all of 300", 300, nil},
		{"all of 1,000", 1000, nil},
		{"one of 300", 300, func(i int) bool { return i == 200 }},
		{"a seed of 300", 300, func(i int) bool { return i == 0 }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := emptyFleet(tt.hosts, "a", "b", "c")
			if tt.restarted != nil {
				f.connectAll()
				f.run(2 * time.Second)
			}
			for i := range f.members {
				if tt.restarted == nil || tt.restarted(i) {
					f.restart(i)
				}
			}
			unreachable := 0
			for range 12 { // 3 s, half of the 6 s that users allow for catching up
				f.run(250 * time.Millisecond)
				for _, m := range f.members {
					unreachable += len(m.Unreachable(f.now))
				}
			}
			if unreachable > 0 {
				t.Errorf("data centres counted as unreachable %d times without a fault", unreachable)
			}
			for i, m := range f.members {
				if 2*m.NumKnown() < tt.hosts {
					t.Errorf("host %d knows %d of %d hosts 3 s after the start", i, m.NumKnown(), tt.hosts)
					return
				}
			}
		})
	}
}

// Guards against seeds that answer every message of thousands of hosts that start at once.
func TestBootstrapAnswersAreBounded(t *testing.T) {
	m := newMembers(host(0, "a"))
	for i := range 200 {
		m.Receive(&Message{From: host(byte(i+1), "a"), NumKnown: 1}, time.Second)
	}
	answered := 0
	for i := range 200 {
		if len(m.BootstrapHosts(&Message{From: host(byte(i+1), "a"), NumKnown: 4}, time.Second)) > 0 {
			answered++
		}
	}
	if answered != maxBootstrapAnswers {
		t.Errorf("%d answers with host addresses in a window, want %d", answered, maxBootstrapAnswers)
	}
	if bootstrap := m.BootstrapHosts(&Message{From: host(1, "a"), NumKnown: 190}, time.Second); len(bootstrap) > 0 {
		t.Error("a host that knows most others receives host addresses")
	}
}

// Guards against a host that counts as joined, and assumes a fleet of one, because its seeds are down.
func TestJoined(t *testing.T) {
	m := newMembers(host(1, "a"), host(1, "a").Addr, host(2, "a").Addr)
	if m.Joined() {
		t.Error("a host whose seed is silent counts as joined")
	}
	m.Receive(&Message{From: host(3, "b")}, time.Second)
	if !m.Joined() || !newMembers(host(1, "a"), host(1, "a").Addr).Joined() {
		t.Error("a host that has received a message, or is its own only seed, does not count as joined")
	}
}
