package affinity

import (
	"testing"
	"time"
)

// The store loses the entries of live servers and cannot be read for seconds (incident 3f67: 1,105 flows of 23 servers were
// reset half a second before their entries returned). Guards against resets while no host can determine whether a server is
// gone.
func TestFlowsSurviveUnavailableStore(t *testing.T) {
	h := newHarness(t)
	lapsed := h.server("meter", "a")
	h.applyView()
	c := h.caller(meterAddr)
	c.connect()
	h.storeUnavailable = true
	h.remove(lapsed)
	for range 2 * removedServerRetention / time.Second {
		h.advance(time.Second)
		c.answered()
		if v := c.request(); v.Action != Forward || v.ServerID != lapsed {
			t.Fatalf("at %v: %v to %q, want the server whose entry lapsed", h.now, v.Reason, v.ServerID)
		}
		if orders := h.router.TakeResets(); len(orders) > 0 {
			t.Fatalf("at %v: flow reset, %v", h.now, orders[0].Reason)
		}
	}
	h.storeUnavailable = false
	h.advance(removalGrace + 200*time.Millisecond)
	if v := c.request(); v.Action != Reject || v.Reason != BackendServerGone {
		t.Fatalf("%v %v once the store has confirmed that the entry is gone", v.Action, v.Reason)
	}
}

// Guards against resets by a host that started while the store is unavailable, from a copy of the registry that lacks the
// server.
func TestUnknownTokensWaitForStore(t *testing.T) {
	h := newHarness(t)
	h.server("meter", "a")
	h.applyView()
	h.storeUnavailable = true
	c := h.caller(meterAddr)
	c.token = 0x7777
	for range 20 {
		h.advance(time.Second)
		if v := c.request(); v.Action != Drop {
			t.Fatalf("at %v: %v, want the packet dropped", h.now, v.Reason)
		}
	}
	h.storeUnavailable = false
	h.advance(unknownTokenGrace + 200*time.Millisecond)
	if v := c.request(); v.Reason != TokenNeverListed {
		t.Fatalf("%v once the store has confirmed that no server has the token", v.Reason)
	}
}

// Guards against flows that hang at a crashed server whose entry disappeared while the store cannot confirm the removal.
func TestRemovedServerIsChecked(t *testing.T) {
	h := newHarness(t)
	crashed, healthy := h.server("meter", "a"), h.server("bill", "a")
	h.applyView()
	c, other := h.caller(meterAddr), h.caller(billAddr)
	c.connect()
	other.connect()
	h.storeUnavailable = true
	h.remove(crashed)
	c.request()
	h.advance(200 * time.Millisecond)
	other.answered()
	other.request()
	c.request()
	if n := h.check(map[string]CheckOutcome{crashed: Refuses}); n != 1 {
		t.Fatalf("%d checks, want that of %s, not of %s", n, crashed, healthy)
	}
	if orders := h.router.TakeResets(); len(orders) != 1 || orders[0].Reason != BackendServerSilent {
		t.Fatalf("resets %+v, want that of the flow at the crashed server", orders)
	}
}
