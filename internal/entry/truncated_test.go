package entry

import (
	"net"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/nutmeglatch/nutmeglatch/internal/follower"
	"github.com/nutmeglatch/nutmeglatch/internal/gossip"
	"github.com/nutmeglatch/nutmeglatch/internal/registry"
)

// Guards against the loss of changes that a truncated watch contains, against their counting as a confirmation of the
// contents, and against removals in the full read that follows counting as certain.
func TestTruncatedWatchConfirmsNothing(t *testing.T) {
	c := idleControl()
	c.conn = listenUDP(t)
	server := &registry.BackendServer{ID: "i-1", Identity: 1, Service: "meter"}
	c.state.Replace([]registry.Update{
		{Key: "config", Revision: 7, Config: &registry.Config{Version: 1}},
		{Key: "i-1", Revision: 6, Server: server},
	}, 7, 0)
	c.propagateChanges(nil, 7, c.host.config.Peer)
	call := c.follower.Next(registry.Version{Revision: 7}, follower.Fleet{Reader: true}, c.host.now())
	changes := []registry.Update{{Key: "config", Revision: 9, Config: &registry.Config{Version: 2}}}
	c.onCallEnd(callEnd{call: call, result: follower.Result{Updates: changes, Revision: 8}, outcome: follower.Truncated, err: errors.New("cut")})
	if c.state.Revision() != 8 || c.version != 2 {
		t.Errorf("configuration %d at revision %d, want 2 at 8", c.version, c.state.Revision())
	}
	if age := c.host.ageMs(c.host.now()); age != gossip.NeverConfirmed {
		t.Errorf("confirmed %d ms ago by a truncated answer", age)
	}
	if !c.state.StoreFailedRecently(c.host.now()) {
		t.Error("a truncated answer counts as no failure of the store")
	}
	call = c.follower.Next(registry.Version{Revision: 8}, follower.Fleet{Reader: true}, c.host.now())
	if call.Kind != follower.ReadAll {
		t.Fatalf("next call %+v, want a full read", call)
	}
	c.onCallEnd(callEnd{call: call, result: follower.Result{Updates: changes, Revision: 9, Interrupted: true}, outcome: follower.Done})
	if servers := c.state.View().Servers; len(servers) != 1 || !servers[0].Lapsed {
		t.Errorf("backend servers %+v after a disturbed read without one, want it as lapsed", servers)
	}
	if _, ok := c.follower.Confirmed(); !ok {
		t.Error("a full read confirms nothing")
	}
}

// Guards against other hosts not being told that the store may have been unavailable during a read that was continued.
func TestDisturbedReadIsReported(t *testing.T) {
	c := idleControl()
	c.conn = listenUDP(t)
	call := c.follower.Next(registry.Version{}, follower.Fleet{Reader: true}, c.host.now())
	c.onCallEnd(callEnd{call: call, result: follower.Result{Revision: 9, Interrupted: true}, outcome: follower.Done})
	if age := c.outageAgeMs(c.host.now()); age == gossip.NoRecentOutage {
		t.Error("no outage reported")
	}
}

// Another host could not read the store for a while, and passes on what it has read since. Guards against flows of a draining
// backend server that are reset at once because its entry has lapsed meanwhile, by a host that did not have to call the store.
func TestDrainingServerLapsesInAReportedOutage(t *testing.T) {
	for _, tt := range []struct {
		name        string
		outageAgeMs int64
		draining    bool
		kept        bool
	}{
		{"draining, recent outage", 300, true, true},
		{"draining, no outage", gossip.NoRecentOutage, true, false},
		{"ready, recent outage", 300, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := idleControl()
			c.conn = listenUDP(t)
			server := &registry.BackendServer{ID: "i-1", Identity: 1, Service: "meter", Draining: tt.draining}
			c.state.Replace([]registry.Update{
				{Key: "config", Revision: 7, Config: &registry.Config{Version: 1}},
				{Key: "i-1", Revision: 6, Server: server},
			}, 7, 0)
			sender := listenUDP(t).LocalAddr().(*net.UDPAddr).AddrPort()
			c.onMessage(t.Context(), &gossip.Message{
				From: gossip.Host{Addr: sender, DataCentre: "a"}, Revision: 8, After: 7, OutageAgeMs: tt.outageAgeMs,
				Changes: []registry.Update{{Key: "i-1", Revision: 8, Removed: true}},
			})
			servers := c.state.View().Servers
			if kept := len(servers) == 1 && servers[0].Lapsed && servers[0].Draining; kept != tt.kept {
				t.Errorf("backend servers %+v, want the entry kept as lapsed: %v", servers, tt.kept)
			}
		})
	}
}
