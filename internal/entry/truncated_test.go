package entry

import (
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
