package entry

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/nutmeglatch/nutmeglatch/internal/follower"
	"github.com/nutmeglatch/nutmeglatch/internal/gossip"
	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// idleControl returns the control state of a host that has run for a minute without any event.
func idleControl() *control {
	host := New(Config{Peer: netip.MustParseAddrPort("10.0.0.1:7000"), DataCentre: "a", Limits: DefaultLimits(3 * time.Second)}, nil, nil, log.NewNopLogger())
	host.started = time.Now().Add(-time.Minute)
	return host.control
}

// listenUDP returns a socket on the loopback network.
func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// Guards against a copy that took seconds to arrive and counts as confirmed when it arrives. Changes made meanwhile would
// be missed for longer than hosts may be behind, and a removed backend server would stay in use.
func TestConfirmationOfASlowCopy(t *testing.T) {
	const (
		transferTime = 5 * time.Second
		ageAtSender  = 200 * time.Millisecond
	)
	c := idleControl()
	copied := &gossip.Copy{Loaded: true, Full: true, Revision: 7, AgeMs: ageAtSender.Milliseconds(), Updates: []registry.Update{
		{Key: "config", Revision: 7, Config: &registry.Config{Version: 1}},
	}}
	startedAt := c.host.now() - transferTime
	c.onFetchEnd(fetchEnd{from: netip.MustParseAddrPort("10.0.0.2:7000"), startedAt: startedAt, copy: copied})
	if at, ok := c.follower.Confirmed(); !ok || at > startedAt-ageAtSender {
		t.Errorf("confirmed at %v (%v), but the copy was requested at %v and %v old then", at, ok, startedAt, ageAtSender)
	}
}

// The reader of the store runs slowly and handles the answer to a watch after the wait, though the store answered early, with
// changes. Guards against contents that count as confirmed later than they were, at the reader and at all hosts that take its
// word: they reset flows of removed backend servers before these had their time to return.
func TestConfirmationOfALateWatch(t *testing.T) {
	const late = 200 * time.Millisecond
	for _, changed := range []bool{false, true} {
		c := idleControl()
		c.conn = listenUDP(t)
		c.state.Replace([]registry.Update{{Key: "config", Revision: 7, Config: &registry.Config{Version: 1}}}, 7, 0)
		c.follower.CopyReceived()
		wait := c.limits.Follower.WatchWait
		startedAt := c.host.now() - wait - late
		c.follower.Confirm(startedAt - time.Millisecond)
		call := c.follower.Next(registry.Version{Revision: 7}, follower.Fleet{Reader: true}, startedAt)
		c.onCallEnd(callEnd{call: call, result: follower.Result{Revision: 8, Changed: changed}, outcome: follower.Done})
		want := startedAt
		if !changed {
			want += wait
		}
		if at, _ := c.follower.Confirmed(); at != want {
			t.Errorf("changed %v: confirmed %v after the start of the watch, want %v", changed, at-startedAt, want-startedAt)
		}
		if age := time.Duration(c.stateMessage(0, nil).AgeMs) * time.Millisecond; changed && age < wait {
			t.Errorf("other hosts are told that the contents were confirmed %v ago, want %v at least", age, wait)
		}
	}
}

// Guards against a host that was frozen and takes the confirmations in messages that have waited in its socket's buffer for
// present ones, so that it decides by contents that are seconds old and does not ask the store.
func TestConfirmationInAMessageFromBeforeAPause(t *testing.T) {
	const pause = 5 * time.Second
	c := idleControl()
	other := listenUDP(t)
	c.conn = listenUDP(t)
	c.state.Replace([]registry.Update{{Key: "config", Revision: 7, Config: &registry.Config{Version: 1}}}, 7, 0)
	now := c.host.now()
	c.pauses.ran(now - pause)
	c.detectPause()
	message := &gossip.Message{From: gossip.Host{Addr: other.LocalAddr().(*net.UDPAddr).AddrPort(), DataCentre: "a"}, Revision: 7, AgeMs: 100, OutageAgeMs: gossip.NoRecentOutage}
	c.onMessage(t.Context(), message)
	if at, _ := c.follower.Confirmed(); at > now-pause {
		t.Errorf("confirmed %v ago, but the message may be as old as the pause of %v", c.host.now()-at, pause)
	}
	c.pauses.backlogUntil = 0
	c.onMessage(t.Context(), message)
	if at, ok := c.follower.Confirmed(); !ok || at < now-time.Second {
		t.Errorf("a message of the present confirms as of %v ago", c.host.now()-at)
	}
}

// Guards against a host that has just started and puts contents in force that its peer could not confirm for minutes: a
// backend server that has left, or a route that was removed, would be in use again. Without the store they are better than
// none.
func TestStartIgnoresOutdatedCopies(t *testing.T) {
	sender := listenUDP(t).LocalAddr().(*net.UDPAddr).AddrPort()
	message := func(age time.Duration) *gossip.Message {
		return &gossip.Message{From: gossip.Host{Addr: sender, DataCentre: "a"}, Revision: 7, AgeMs: age.Milliseconds(), OutageAgeMs: gossip.NoRecentOutage}
	}
	for _, tt := range []struct {
		name      string
		age       time.Duration
		storeDown bool
		loaded    bool
		fetches   bool
	}{
		{"confirmed copy", time.Second, false, false, true},
		{"copy of a host that has been cut from the store", 3 * time.Minute, false, false, false},
		{"copy of a host that has read nothing yet", gossip.NeverConfirmed * time.Millisecond, false, false, false},
		{"old copy, store down", 3 * time.Minute, true, false, true},
		{"old changes for a host that has run for long", 3 * time.Minute, false, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := idleControl()
			c.conn = listenUDP(t)
			c.storeDown = tt.storeDown
			if tt.loaded {
				c.state.Replace([]registry.Update{{Key: "config", Revision: 5, Config: &registry.Config{Version: 1}}}, 5, 0)
			}
			c.onMessage(t.Context(), message(tt.age))
			if c.fetching != tt.fetches {
				t.Errorf("fetches %v, want %v", c.fetching, tt.fetches)
			}
		})
	}
}

// Guards against demand that the other hosts learn of late while a service is full, or get from messages that should be short,
// and against parts for data centres that are out of reach.
func TestDemandInMessages(t *testing.T) {
	host := New(Config{Peer: netip.MustParseAddrPort("10.0.0.1:7000"), DataCentre: "a", Limits: DefaultLimits(3 * time.Second)}, nil, nil, log.NewNopLogger())
	c := host.control
	full, idle := gossip.ServiceDemand{Service: 1, Running: 9}, gossip.ServiceDemand{Service: 2, Running: 1}
	host.demand.Store(&demand{services: []gossip.ServiceDemand{full, idle}, urgent: []gossip.ServiceDemand{full}})
	for c.rounds = 1; c.rounds <= fullRounds; c.rounds++ {
		want := 1
		if c.rounds == 1 {
			want = 2
		}
		if got := c.message(0, nil).Demand; len(got) != want {
			t.Errorf("round %d: demand of %d services, want %d", c.rounds, len(got), want)
		}
	}
	now := host.now()
	for i, dataCentre := range []string{"a", "b", "c"} {
		from := gossip.Host{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 7000), DataCentre: dataCentre}
		c.members.Receive(&gossip.Message{From: from, Demand: []gossip.ServiceDemand{full}}, now)
	}
	f := c.sharers(map[string]bool{"c": true}, now)
	if f.Hosts != 2 || f.Own.Demand[1] != 9 || len(f.Others) != 1 || !f.Others[0].Known {
		t.Errorf("sharers %+v, want 2 hosts of the own data centre and one other data centre", f)
	}
}
