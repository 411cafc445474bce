package entry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/follower"
	"github.com/nutmeglatch/nutmeglatch/internal/gossip"
	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// gossipFleet is a fleet whose hosts exchange messages on a simulated clock. Messages to its slow hosts wait in their sockets'
// buffers.
type gossipFleet struct {
	hosts     []*control
	now       time.Duration
	late      func(to int) time.Duration
	inTransit []delayedMessage
}

type delayedMessage struct {
	at      time.Duration
	to      int
	message *gossip.Message
}

// gossipStep is the resolution of the simulated clock, and the time that messages take without delay.
const gossipStep = 10 * time.Millisecond

func newGossipFleet(t *testing.T, n int, late func(to int) time.Duration) *gossipFleet {
	f := &gossipFleet{now: time.Minute, late: late}
	for i := range n {
		c := idleControl()
		c.host.config.Peer = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
		c.members = gossip.NewMembers(gossip.Host{Addr: c.host.config.Peer, DataCentre: "a"}, nil, nil)
		c.conn = listenUDP(t)
		c.host.started = time.Now().Add(-f.now)
		c.state.Replace([]registry.Update{{Key: "config", Revision: 7, Config: &registry.Config{Version: 1}}}, 7, 0)
		c.follower.CopyReceived()
		f.hosts = append(f.hosts, c)
	}
	return f
}

// reader returns the index of the reader of the store.
func (f *gossipFleet) reader() int {
	for n, c := range f.hosts {
		if own, _, _ := c.members.Reader(f.now); own {
			return n
		}
	}
	return -1
}

// run runs the fleet for a time. Each host sends a round every 250 ms. each is called for each host at each step.
func (f *gossipFleet) run(t *testing.T, d time.Duration, each func(n int, c *control)) {
	for end := f.now + d; f.now < end; f.now += gossipStep {
		for n, c := range f.hosts {
			c.host.started = time.Now().Add(-f.now)
			if f.now%(250*time.Millisecond) == time.Duration(n)*gossipStep {
				f.send(n, c)
			}
			each(n, c)
		}
		kept := f.inTransit[:0]
		for _, m := range f.inTransit {
			if m.at > f.now {
				kept = append(kept, m)
			} else {
				f.hosts[m.to].onMessage(t.Context(), m.message)
			}
		}
		f.inTransit = kept
	}
}

// read has a host read the store, which has no change.
func (f *gossipFleet) read(n int) {
	c := f.hosts[n]
	c.host.started = time.Now().Add(-f.now)
	call := c.follower.Next(registry.Version{Revision: 7}, follower.Fleet{}, f.now)
	c.onCallEnd(callEnd{call: call, result: follower.Result{Revision: 7}, outcome: follower.Done})
}

func (f *gossipFleet) send(n int, c *control) {
	for to := range f.hosts {
		if to != n {
			f.inTransit = append(f.inTransit, delayedMessage{f.now + gossipStep + f.late(to), to, c.stateMessage(0, nil)})
		}
	}
}

// The reader of the store has lost its path there, while a third of the hosts runs slowly. Guards against a confirmation that gets
// younger with each host that passes it on: the hosts that are well would not find their contents outdated, would not read the
// store themselves, and would miss a new configuration for as long.
func TestConfirmationsDoNotCirculate(t *testing.T) {
	const (
		hosts       = 12
		applyWithin = 3 * time.Second // the limits of idleControl are for this
	)
	for _, late := range []time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond} {
		f := newGossipFleet(t, hosts, func(to int) time.Duration {
			if to%3 == 0 {
				return late
			}
			return 0
		})
		f.run(t, 3*time.Second, func(int, *control) {})
		reader, confirmedAt := f.reader(), f.now
		f.read(reader)
		calls := map[int]time.Duration{} // when a host first would read the store, after the last confirmation
		f.run(t, applyWithin+time.Second, func(n int, c *control) {
			if _, called := calls[n]; !called && !c.follower.Fresh(f.now) && f.now > confirmedAt+time.Second {
				calls[n] = f.now - confirmedAt
			}
		})
		for n := range f.hosts {
			if at, called := calls[n]; n != reader && n%3 != 0 && (!called || at > applyWithin) {
				t.Errorf("a third late by %v: host %d, which is well, reads the store %v after the last confirmation (0: not within %v), want %v at most",
					late, n, at, applyWithin+time.Second, applyWithin)
			}
		}
	}
}
