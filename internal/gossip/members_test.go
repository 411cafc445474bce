package gossip

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

func newMembers(self Host, seeds ...netip.AddrPort) *Members {
	return NewMembers(self, seeds, rand.New(rand.NewPCG(1, 2)))
}

// Guards against hosts that never find each other when seeds are stale or down.
func TestSeedsUntilSomebodyIsHeard(t *testing.T) {
	seed, dead := host(1, "a"), host(9, "a")
	m := newMembers(host(2, "a"), seed.Addr, dead.Addr)
	if got := m.Receivers(0); len(got) != 2 {
		t.Fatalf("receivers of a host that knows nobody: %v, want both seeds", got)
	}
	if !m.Hear(&Message{From: host(3, "b"), Hosts: []Host{seed}}, time.Second) {
		t.Fatal("the first message of a host is not new")
	}
	if got := m.Receivers(time.Second); len(got) != 2 {
		t.Fatalf("receivers %v, want the host that was heard and the one that it named", got)
	}
	if got := m.Receivers(time.Second + aliveFor); len(got) != 3 {
		t.Fatalf("receivers %v once nobody is heard, want the seeds again", got)
	}
}

// Guards against a fleet without a reader, and against two readers in a fleet whose hosts hear each other.
func TestOneReader(t *testing.T) {
	hosts := []Host{host(1, "a"), host(2, "a"), host(3, "b"), host(4, "c")}
	readers := func(down int, now time.Duration) int {
		n := 0
		for i, self := range hosts {
			m := newMembers(self)
			for j, other := range hosts {
				if j == i {
					continue
				}
				at := now
				if j == down {
					at = now - aliveFor
				}
				m.Hear(&Message{From: other}, at)
			}
			if i != down && m.Reader(now) {
				n++
			}
		}
		return n
	}
	for down := -1; down < len(hosts); down++ {
		if n := readers(down, 10*time.Second); n != 1 {
			t.Errorf("%d readers with host %d down, want 1", n, down)
		}
	}
}

// Guards against a reader that is about to stop.
func TestLeavingHostIsNoReader(t *testing.T) {
	hosts := []Host{host(1, "a"), host(2, "a")}
	for i, self := range hosts {
		m := newMembers(self)
		m.Hear(&Message{From: hosts[1-i], Leaving: true}, time.Second)
		if !m.Reader(time.Second) {
			t.Errorf("host %d does not read although the only other one leaves", i)
		}
	}
}

// Guards against control traffic that grows with the fleet.
func TestReceiversAreBounded(t *testing.T) {
	m := newMembers(host(0, "a"))
	for i := range 200 {
		dataCentre := []string{"a", "b", "c"}[i%3]
		m.Hear(&Message{From: host(byte(i+1), dataCentre)}, time.Second)
	}
	if n := len(m.Receivers(time.Second)); n != fanOut {
		t.Fatalf("%d receivers in a fleet of 200, want %d", n, fanOut)
	}
	if n := len(m.Sample()); n != maxHosts {
		t.Fatalf("%d hosts named, want %d", n, maxHosts)
	}
}

// Guards against forged messages that fill the memory, and against hosts that are remembered for ever.
func TestMembersAreBounded(t *testing.T) {
	m := newMembers(host(0, "a"))
	for i := range 3 * maxMembers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000)
		m.Hear(&Message{From: Host{Addr: addr, DataCentre: "b"}}, time.Second)
	}
	if n := len(m.All()); n > maxMembers {
		t.Fatalf("%d members, allowed %d", n, maxMembers)
	}
	m.Sweep(2*time.Second + memberRetention)
	if n := len(m.All()); n != 0 {
		t.Fatalf("%d members after a long silence", n)
	}
}

// Guards against flows for a data centre that was cut off, and against a data centre that was never heard counting so.
func TestUnreachable(t *testing.T) {
	m := newMembers(host(1, "a"))
	m.Hear(&Message{From: host(2, "b")}, time.Second)
	m.Hear(&Message{From: host(3, "a")}, time.Second)
	if got := m.Unreachable(1500 * time.Millisecond); len(got) != 0 {
		t.Fatalf("unreachable %v, want none", got)
	}
	if got := m.Unreachable(3 * time.Second); !got["b"] || len(got) != 1 {
		t.Fatalf("unreachable %v, want b only", got)
	}
}
