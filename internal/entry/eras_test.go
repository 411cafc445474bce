package entry

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/follower"
	"github.com/nutmeglatch/nutmeglatch/internal/gossip"
	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// eraControl returns the control goroutine's state with contents of era 1 at revision 20, and the socket of another host.
func eraControl(t *testing.T) (*control, *net.UDPConn) {
	t.Helper()
	c := idleControl()
	c.conn = listenUDP(t)
	other := listenUDP(t)
	c.members.Receive(&gossip.Message{From: hostOf(other)}, c.host.now())
	c.follower.Next(registry.Version{}, follower.Fleet{Reader: true}, c.host.now())
	c.onCallEnd(callEnd{call: follower.Call{Kind: follower.ReadAll}, outcome: follower.Done, result: follower.Result{
		Era: 1, Revision: 20, Updates: []registry.Update{eraConfig(15, 9), eraServer(16, true)},
	}})
	if c.state.Version() != (registry.Version{Era: 1, Revision: 20}) || !c.host.ready.Load() {
		t.Fatalf("version %v, ready %v", c.state.Version(), c.host.ready.Load())
	}
	return c, other
}

func hostOf(conn *net.UDPConn) gossip.Host {
	return gossip.Host{Addr: conn.LocalAddr().(*net.UDPAddr).AddrPort(), DataCentre: "a"}
}

func eraConfig(revision, version uint64) registry.Update {
	return registry.Update{Key: "config", Revision: revision, Config: &registry.Config{Version: version, Services: []registry.Service{{Name: "meter"}}}}
}

func eraServer(revision uint64, draining bool) registry.Update {
	return registry.Update{Key: "s", Revision: revision, Created: 2, Server: &registry.BackendServer{ID: "s", Identity: 1, Service: "meter", Draining: draining, Slots: 1}}
}

// lastMessage returns the last message that a host has received.
func lastMessage(t *testing.T, conn *net.UDPConn) *gossip.Message {
	t.Helper()
	var last *gossip.Message
	buffer := make([]byte, gossip.MaxDatagram+1)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return last
		}
		if last, err = gossip.Decode(buffer[:n]); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a host that ignores a restore of the store, goes back to what the copy says, does not tell the other hosts, or
// sends them differences to contents of another era.
func TestStoreReadInANewerEra(t *testing.T) {
	c, other := eraControl(t)
	changes := eraChanges.Get()
	c.onCallEnd(callEnd{call: follower.Call{Kind: follower.Watch, Era: 1, After: 20}, outcome: follower.EraChanged, result: follower.Result{Era: 2}})
	if call := c.follower.Next(c.state.Version(), follower.Fleet{Reader: true}, c.host.now()); call.Kind != follower.ReadAll {
		t.Fatalf("next call %+v, want a full read", call)
	}
	c.onCallEnd(callEnd{call: follower.Call{Kind: follower.ReadAll, Era: 1}, outcome: follower.Done, result: follower.Result{
		Era: 2, Revision: 12, Updates: []registry.Update{eraConfig(3, 7), eraServer(5, false)},
	}})
	v := c.state.View()
	if c.state.Version() != (registry.Version{Era: 2, Revision: 12}) || v.Config.Version != 9 || !v.Servers[0].Draining {
		t.Errorf("version %v, configuration %d, %+v", c.state.Version(), v.Config.Version, v.Servers[0])
	}
	if eraChanges.Get() != changes+1 || eraGauge.Get() != 2 || c.status().Era != 2 {
		t.Errorf("counted %d times; era %v, in the status %d", eraChanges.Get()-changes, eraGauge.Get(), c.status().Era)
	}
	if m := lastMessage(t, other); m == nil || m.Version() != c.state.Version() || !m.Holding || len(m.Changes) > 0 {
		t.Errorf("other hosts are told %+v", m)
	}
	if !c.state.StoreFailedRecently(c.host.now()) || c.outageAgeMs(c.host.now()) == gossip.NoRecentOutage {
		t.Error("a restore counts as no outage of the store")
	}
	for _, q := range []gossip.Query{{Era: 1, After: 20}, {Era: 1, After: 12}, {}} {
		if answer := c.copySince(q); !answer.Full || answer.Cached || !answer.Holding || answer.Era != 2 || answer.Began != 12 {
			t.Errorf("query %+v is answered with %+v, want a full copy", q, answer)
		}
	}
	if answer := c.copySince(gossip.Query{Era: 2, After: 12}); answer.Full || len(answer.Updates) > 0 {
		t.Errorf("a query of the present version is answered with %+v", answer)
	}
}

// Guards against the contents of a store call that another host's copy of a newer era has overtaken.
func TestLateAnswerOfAnOlderEra(t *testing.T) {
	for _, kind := range []follower.Kind{follower.ReadAll, follower.Watch} {
		c, _ := eraControl(t)
		c.restore([]registry.Update{eraConfig(3, 9)}, registry.Version{Era: 2, Revision: 12}, 12, hostOf(listenUDP(t)).Addr, c.host.now())
		confirmed, _ := c.follower.Confirmed()
		c.onCallEnd(callEnd{call: follower.Call{Kind: kind, Era: 1, After: 20}, outcome: follower.Done, result: follower.Result{
			Era: 1, Revision: 30, Updates: []registry.Update{eraConfig(25, 12)},
		}})
		if at, _ := c.follower.Confirmed(); c.state.Version().Era != 2 || c.state.ConfigVersion() != 9 || at != confirmed {
			t.Errorf("kind %d: version %v, configuration %d, confirmed %v later", kind, c.state.Version(), c.state.ConfigVersion(), at-confirmed)
		}
	}
}

// Guards against an era that a refusal tells and that is forgotten.
func TestRefusalInANewerEra(t *testing.T) {
	for _, outcome := range []follower.Outcome{follower.Refused, follower.HistoryLost, follower.Failed} {
		c, _ := eraControl(t)
		c.follower.Next(c.state.Version(), follower.Fleet{Reader: true}, c.host.now())
		c.onCallEnd(callEnd{call: follower.Call{Kind: follower.Watch, Era: 1, After: 20}, outcome: outcome, result: follower.Result{Era: 2}, err: errors.New("refused")})
		if call := c.follower.Next(c.state.Version(), follower.Fleet{Reader: true}, c.host.now()+time.Minute); call.Kind != follower.ReadAll {
			t.Errorf("%v: next call %+v, want a full read", outcome, call)
		}
	}
}

// Guards against messages of an older era that change or confirm the contents, and against those of a newer one that are
// taken for older because of their revision.
func TestMessagesOfOtherEras(t *testing.T) {
	for _, tt := range []struct {
		name      string
		era       uint64
		revision  uint64
		fetches   bool
		confirms  bool
		configNow uint64
	}{
		{"older era, higher revision", 0, 1000, false, false, 9},
		{"older era, same revision", 0, 20, false, false, 9},
		{"same era, older", 1, 19, false, false, 9},
		{"same version", 1, 20, false, true, 9},
		{"same era, newer", 1, 21, false, true, 11},
		{"newer era, lower revision", 2, 3, true, false, 9},
		{"newer era, same revision", 2, 20, true, false, 9},
	} {
		c, other := eraControl(t)
		before, _ := c.follower.Confirmed()
		c.onMessage(t.Context(), &gossip.Message{
			From: hostOf(other), Era: tt.era, Revision: tt.revision, After: min(tt.revision, 20), Changes: []registry.Update{eraConfig(tt.revision, 11)},
			OutageAgeMs: gossip.NoRecentOutage,
		})
		at, _ := c.follower.Confirmed()
		if c.fetching != tt.fetches || (at != before) != tt.confirms || c.state.ConfigVersion() != tt.configNow {
			t.Errorf("%s: fetches %v, confirmed %v later, configuration %d; want %+v", tt.name, c.fetching, at-before, c.state.ConfigVersion(), tt)
		}
	}
}

// Guards against a host that never reaches the store and does not learn of the restore, or applies a difference to contents of
// another era.
func TestCopyOfANewerEra(t *testing.T) {
	c, other := eraControl(t)
	end := fetchEnd{from: hostOf(other).Addr, startedAt: c.host.now(), copy: &gossip.Copy{
		Loaded: true, Era: 2, Revision: 12, Began: 10, AgeMs: 5, After: 20, Updates: []registry.Update{eraConfig(11, 10)},
	}}
	c.onFetchEnd(end)
	if c.state.Version().Era != 1 || c.state.ConfigVersion() != 9 {
		t.Fatalf("version %v, configuration %d after a difference", c.state.Version(), c.state.ConfigVersion())
	}
	end.copy.Full, end.copy.Holding = true, true
	end.copy.Updates = append(end.copy.Updates, eraServer(12, false))
	c.onFetchEnd(end)
	if v := c.state.View(); c.state.Version() != (registry.Version{Era: 2, Revision: 12}) || v.Config.Version != 10 || v.Servers[0].Draining {
		t.Errorf("version %v, configuration %d, %+v; want what was written in the new era", c.state.Version(), v.Config.Version, v.Servers[0])
	}
	if c.state.LacksOlder(c.host.now()) {
		t.Error("the host fetches a copy once more")
	}
	end.copy = &gossip.Copy{Loaded: true, Full: true, Era: 1, Revision: 1000, Updates: []registry.Update{eraConfig(900, 99)}}
	c.onFetchEnd(end)
	if c.state.Version().Era != 2 || c.state.ConfigVersion() != 10 {
		t.Errorf("version %v, configuration %d after a copy of an older era", c.state.Version(), c.state.ConfigVersion())
	}
}

// Guards against a host that starts within the seconds after a restore, reads the store by itself, and goes by what the copy
// says although other hosts know better.
func TestStartedHostAsksForOlderKnowledge(t *testing.T) {
	c, other := eraControl(t) // it has just read era 1 for the first time
	message := &gossip.Message{From: hostOf(other), Era: 1, Revision: 20, AgeMs: 5, OutageAgeMs: gossip.NoRecentOutage}
	c.onMessage(t.Context(), message)
	if c.fetching {
		t.Fatal("a copy is fetched although the sender keeps nothing")
	}
	message.Holding = true
	c.onMessage(t.Context(), message)
	if !c.fetching {
		t.Fatal("no copy is fetched")
	}
	update := eraConfig(15, 9)
	copied := &gossip.Copy{Loaded: true, Full: true, Era: 1, Revision: 20, Updates: []registry.Update{update}}
	c.onFetchEnd(fetchEnd{from: hostOf(other).Addr, startedAt: c.host.now(), copy: copied})
	if !c.state.LacksOlder(c.host.now()) {
		t.Fatal("the copy of a host that keeps nothing counts")
	}
	update.Older = &registry.Older{Config: eraConfig(1, 12).Config, Remaining: time.Minute}
	copied.Holding, copied.Updates = true, []registry.Update{update}
	c.onFetchEnd(fetchEnd{from: hostOf(other).Addr, startedAt: c.host.now(), copy: copied})
	if c.state.ConfigVersion() != 12 || c.version != 12 {
		t.Errorf("configuration %d, published %d, want 12", c.state.ConfigVersion(), c.version)
	}
	c.fetchAfter = 0
	c.onMessage(t.Context(), message)
	if c.fetching {
		t.Error("a second copy is fetched")
	}
}

// Guards against a host that gets its first configuration by a restore of the store and does not become ready.
func TestReadyAfterARestore(t *testing.T) {
	c := idleControl()
	c.conn = listenUDP(t)
	read := func(era uint64, updates ...registry.Update) {
		c.follower.Next(c.state.Version(), follower.Fleet{Reader: true}, c.host.now())
		c.onCallEnd(callEnd{
			call: follower.Call{Kind: follower.ReadAll, Era: c.state.Version().Era}, outcome: follower.Done,
			result: follower.Result{Era: era, Revision: 20, Updates: updates},
		})
	}
	read(1, eraServer(16, false))
	read(2, eraServer(16, false), eraConfig(17, 3))
	if !c.state.Loaded() || !c.host.ready.Load() {
		t.Errorf("loaded %v, ready %v after the first configuration", c.state.Loaded(), c.host.ready.Load())
	}
}
