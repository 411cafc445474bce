package gossip

import (
	"testing"
	"time"
)

// Guards against a host that was frozen for seconds and takes all others for dead: it would read the store in place of the
// reader, avoid the backend servers of other data centres, or leave the routers' rotation.
func TestPauseIsNoSilenceOfOthers(t *testing.T) {
	const pause = 5 * time.Second
	// The second host ranks first as the reader.
	first, second := host(1, "b"), host(2, "a")
	m := newMembers(host(3, "a"))
	for n := byte(3); readerRank(m.self.Addr) < readerRank(second.Addr); n++ {
		m = newMembers(host(n, "a"))
	}
	now := time.Second
	for _, h := range []Host{first, second} {
		m.Receive(&Message{From: h, Reader: second.Addr, Loads: []Load{{Place: 1, Flows: 5}}}, now)
	}
	now += pause
	m.Resumed(pause)
	if own, reader, _ := m.Reader(now); own || reader != second.Addr {
		t.Errorf("reader %v after a pause, want %v", reader, second.Addr)
	}
	if unreachable := m.Unreachable(now); len(unreachable) > 0 {
		t.Errorf("data centres %v unreachable after a pause", unreachable)
	}
	if n := len(m.Loads(now)); n != 2 {
		t.Errorf("loads of %d hosts count after a pause, want 2", n)
	}
	if !m.PeerAlive(now) || m.ShouldYield(now) {
		t.Error("the others count as silent after a pause")
	}
	now += 2 * aliveTimeout
	if m.PeerAlive(now) || len(m.Unreachable(now)) != 1 {
		t.Error("hosts that stay silent after a pause still count as alive")
	}
}
